Feature: A request's path through separate processes
  Two entry hosts in two failure domains before three engines and one booking service.

  Scenario: A stream, and a repeat at another host that hits the cache
    Given a small cluster
    When a chat with long case notes is streamed through host-a
    Then the answer is the engine's known text
    And a chat with the same case notes through host-b finds at least 4000 tokens cached

  Scenario: A booking and its repeat run once
    Given a small cluster
    When a booking with the key "visit-7" is sent through host-a
    And the same booking is sent through host-b
    Then both get the same answer
    And booking-1 has run the key "visit-7" once

  Scenario: An unknown key is refused and nothing runs
    Given a small cluster
    When a chat is sent through host-b with an unknown key
    Then it is refused with "key_unknown" and "not_run"
