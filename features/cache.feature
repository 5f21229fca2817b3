Feature: No request relies on cache entries that are not its own
  Engines report the tokens that they read from their caches; hosts log what they expected.

  Scenario: Entries of another client account are not relied on
    Given an unkept cluster
    When long case notes are sent until both hosts find them cached
    And the same case notes are sent for satnica
    Then every answer was whole and the engine's known text
    And the requests for satnica found nothing cached that afinaciones sent
    And no salt was used for two client accounts

  Scenario: Entries of an engine that crashed are not relied on
    Given a quick cluster
    When long case notes are sent until both hosts find them cached
    And every engine crashes for 0.3 seconds
    And both hosts see the engines' new incarnations
    And both hosts send the case notes again
    Then every answer was whole and the engine's known text
    And the first request to each new incarnation found at most what was imported
    And no host expected more from a new incarnation than it held

  Scenario: Entries of older weights are not relied on, and a change of version refuses nobody
    Given an unkept cluster
    When long case notes are sent until both hosts find them cached
    And chats run without pause while the model changes to version 2
    And both hosts send the case notes again
    Then every answer was whole and the text of one version
    And the requests to version 2 found nothing cached that version 1 computed
    And at most 2 engines loaded weights at a time
