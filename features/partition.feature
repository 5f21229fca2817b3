Feature: Failure domains that are cut off continue to serve what they can
  The relay forwards no byte between the domains, or between one of them and the platform.

  Scenario: A domain is cut off from the other and from the platform
    Given a relayed cluster
    When 6 streams of 20 pieces run through both hosts
    And every stream is whole and is the known text
    And the domain north is cut off from the other and from the platform
    And the hosts have noticed the cut
    And 8 streams of 20 pieces run through both hosts
    Then every stream is whole and is the known text
    And a lookup through each host gets its own answer from its own domain
    And a booking through host-a is refused as not run within 3 seconds and did not run
    When the domains are reconnected
    Then a booking through each host is answered within 10 seconds and runs once
