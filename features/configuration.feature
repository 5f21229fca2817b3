Feature: Configuration is in force everywhere and never reverts

  Scenario: Accepted changes survive host kills and lost answers
    Given four linked hosts in two domains whose revisions are watched
    When 24 accounts are created over all hosts while the platform loses 40% of its answers and "n2" is killed
    And "n2" is started again
    And 4 accounts are created at host "n1" while the platform loses all of its answers
    Then every change was reported correctly
    And the accepted changes are in force on all hosts within 11 seconds
    And no host went to a lower revision

  Scenario: A change made while the platform is down is refused and not run
    Given four linked hosts in two domains whose revisions are watched
    When the platform goes down
    Then a change at every host is refused as not run
    When the platform comes back
    Then a change at every host is accepted
    And every change was reported correctly
    And the accepted changes are in force on all hosts within 11 seconds
    And no host went to a lower revision

  Scenario: A domain that is cut off catches up
    Given four hosts in two domains, linked through relays, whose revisions are watched
    When domain "south" is cut off from "north" and from the platform
    And 8 accounts are created at host "n1"
    Then the accepted changes are in force on hosts "n1, n2" within 11 seconds
    And hosts "s1, s2" still serve the keys that they know
    When the cut is healed
    Then the accepted changes are in force on all hosts within 11 seconds
    And no host went to a lower revision

  Scenario: Changes reach hosts that have lost the platform only
    Given four hosts in two domains, linked through relays, whose revisions are watched
    When hosts "n2, s1, s2" are cut off from the platform
    And 8 accounts are created at host "n1"
    Then the accepted changes are in force on all hosts within 11 seconds
    And no host went to a lower revision

  Scenario: One of racing operators wins, also when answers are lost
    Given four linked hosts in two domains whose revisions are watched
    When 12 operators race to change one account 5 times while the platform loses 30% of its answers
    Then in each race exactly one operator won and its value is in force on all hosts
    And no host went to a lower revision

  Scenario: A host starts while the platform is down
    Given four linked hosts in two domains whose revisions are watched
    When the platform goes down
    And "s2" is killed
    Then "s2" serves its first request within 2 seconds of its start
    And no host went to a lower revision

  Scenario: Hosts restart in a herd while the platform is down and one host is left
    Given four linked hosts in two domains whose revisions are watched
    And the remaining host, "s2", holds a bucket of the caller's client account
    When the platform goes down
    And hosts "n1, n2, s1" are killed at the same moment
    Then hosts "n1, n2, s1" started at the same moment serve their first requests within 2 seconds
    And no host went to a lower revision

  Scenario: A host that knows no configuration is not ready
    Given four linked hosts in two domains whose revisions are watched
    When the platform goes down
    And hosts "n1, n2, s1, s2" are killed at the same moment
    Then "s2" is alive and not ready after its start
    When the platform comes back
    Then "s2" is ready within 11 seconds and doesn't refuse a key for lack of a configuration
