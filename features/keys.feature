Feature: Keys open one client account and can be withdrawn

  Scenario: A withdrawn key stops on kept-alive connections while the platform is down
    Given four linked hosts in two domains whose revisions are watched
    And a caller is connected to every host
    When the platform goes down
    And the caller's key is withdrawn at host "n1"
    Then the caller is refused on every open connection within 3 seconds
    And the withdrawal is accepted but not written down
    When the platform comes back
    Then the withdrawal is written down within 11 seconds

  Scenario: A withdrawn key stays refused after every host was replaced
    Given four linked hosts in two domains whose revisions are watched
    When the platform goes down
    And the caller's key is withdrawn at host "s1"
    Then the withdrawal is accepted but not written down
    When every host is killed and started again, one after the other
    Then the caller is refused on every host within 3 seconds of its start
    And the caller is still refused on every host after the platform came back

  Scenario: A withdrawal crosses a healed cut
    Given four hosts in two domains, linked through relays, whose revisions are watched
    When domain "south" is cut off from "north" and from the platform
    And the caller's key is withdrawn at host "s1"
    Then the caller is refused on hosts "s1, s2" within 3 seconds
    And the withdrawal is accepted but not written down
    When the cut is healed
    Then the caller is refused on every host within 3 seconds of the healing

  Scenario: A request runs only for the client account of its key
    Given four linked hosts in two domains whose revisions are watched
    When every host is called on each route with each key and with none
    Then only the calls that the routes allow have run, and no upstream saw a key
