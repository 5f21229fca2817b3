Feature: No upstream sees a caller's key
  Engines and services record the head and the body of everything that reaches them.

  Scenario Outline: A key that a caller puts into <place> reaches no upstream
    Given a quick cluster
    When a caller sends its key in <place> with a chat, a stream, a lookup and a booking
    Then each call was answered or refused with "key_in_request" as not run
    And at least 1 call reached an upstream or was refused
    And no upstream and no log of a host holds the key

    Examples:
      | place                |
      | the usual header     |
      | other headers        |
      | the prompt           |
      | escaped JSON         |
      | the path             |
      | the encoded query    |
      | the plain body       |
      | the idempotency key  |
