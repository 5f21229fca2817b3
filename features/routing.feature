Feature: Requests go to engines that may and can serve them

  Scenario: A leaving engine gets no new work after a few seconds
    Given a quick cluster
    When engine-1 is marked as leaving
    Then within 3 seconds engine-1 gets none of 12 chats through both hosts
    When engine-1 is marked as active
    Then within 5 seconds engine-1 gets some of 12 chats through both hosts

  Scenario: Cached blocks serve the client account that they belong to, and no other
    Given a quick cluster
    When a chat with long notes is sent for "afinaciones" through host-a until it is cached
    Then the first chat with the same notes for "satnica" finds 0 tokens cached at its engine

  @own_cluster
  Scenario: A restarted host finds the blocks that others cached
    Given a quick cluster
    When a chat with long notes is sent for "afinaciones" through host-a until it is cached
    And host-b is killed and started again
    Then the first chat with the same notes for "afinaciones" through host-b is cached

  @own_cluster
  Scenario: An engine comes back empty and its blocks come from the kept store
    Given a quick cluster
    When a chat with long notes is sent for "afinaciones" through host-a until it is cached
    And every engine crashes for 0.3 seconds
    Then within 5 seconds a chat with the same notes is whole, and its engine says what was cached
