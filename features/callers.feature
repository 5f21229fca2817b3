Feature: Callers that disconnect, stall or send invalid requests

  Scenario Outline: A caller that goes away has its work cancelled at the engine
    Given a holding cluster
    When a caller asks host-a for <kind> of 2000 pieces and closes its connection
    Then an engine has cancelled the request within 5 seconds

    Examples:
      | kind           |
      | a stream       |
      | a whole answer |

  Scenario Outline: What can't be understood is refused with a numbered error
    Given a quick cluster
    When host-a is sent "<method>" "<path>" with the body '<body>'
    Then the answer has status <status>, code <code> and "not_run"

    Examples:
      | method | path                 | body                                  | status | code |
      | POST   | /v1/chat/completions | no json                               | 400    | 100  |
      | POST   | /v1/chat/completions | {"model": "verdict"}                  | 400    | 100  |
      | POST   | /v1/chat/completions | {"model": "verdict", "messages": []}  | 400    | 100  |
      | POST   | /v1/chat/completions | {"model": "x", "messages": [{"role": "user", "content": "a"}]} | 404 | 103 |
      | GET    | /v1/chat/completions |                                       | 405    | 104  |
      | POST   | /r/nowhere/x         | {}                                    | 404    | 102  |
      | POST   | /elsewhere           | {}                                    | 404    | 102  |

  Scenario: A body that is too long is refused
    Given a quick cluster
    When host-a is sent a body of 5 million bytes
    Then the answer has status 413, code 101 and "not_run"

  Scenario: A caller that stays silent in the middle of a request loses its connection
    Given an impatient cluster
    When a caller sends half a request to host-a and stays silent
    Then the connection is closed within 5 seconds, and others are served

  Scenario: Many long chats leave room for bookings
    Given a quick cluster
    When 140 callers ask host-a for streams of 1000 pieces at the same time
    Then a booking through host-a is answered within 3 seconds
