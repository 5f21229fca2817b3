Feature: Streams arrive complete and in order, and answers belong to their requests
  Every answer is compared byte for byte with the text that the engines generate for the prompt.

  Scenario: Connections to engines break and their streams are resumed
    Given a quick cluster
    When every engine breaks its next stream after 5 pieces
    And 12 streams of 40 pieces run through both hosts
    Then every stream is whole and is the known text
    And at least 2 faults took effect

  Scenario: Open connections to engines go silent for good
    Given a relayed cluster
    When 12 streams of 60 pieces run through both hosts
    And the open connections from both hosts to the engines stop responding permanently
    Then every stream is whole and is the known text
    And at least 1 connection was silenced

  Scenario: Idle connections go silent before the next stream
    Given a relayed cluster
    When 6 streams of 4 pieces run through both hosts
    And every stream is whole and is the known text
    And the open connections from both hosts to the engines stop responding permanently
    And 6 streams of 30 pieces run through both hosts
    Then every stream is whole and is the known text
    And at least 1 connection was silenced

  Scenario: Idle connections go silent before the next lookup
    Given a relayed cluster
    When 4 visits are looked up through both hosts
    And the open connections from both hosts to the services stop responding permanently
    And 4 visits are looked up through both hosts
    Then every lookup got its own answer
    And every lookup took less than 1 second

  Scenario: Engines cross answers in the middle of streams
    Given a quick cluster
    When every engine crosses its next 2 answers from piece 3 on
    And 12 streams of 30 pieces run through both hosts
    Then every stream is whole and is the known text
    And at least 2 faults took effect

  Scenario: A stream goes on while its attempts bring pieces
    Given a quick cluster
    When every engine crosses its next 2 answers from piece 3 on
    And 1 streams of 40 pieces run through both hosts
    Then every stream is whole and is the known text
    And at least 5 faults took effect

  Scenario: Whole answers come late and crossed
    Given a quick cluster
    When every engine crosses its next 2 answers from piece 0 on
    And every engine answers 0.3 seconds late
    And 12 whole answers of 20 pieces are asked for through both hosts
    Then every answer is whole and is the known text
    And at least 2 faults took effect

  Scenario: Answers of a plain service come crossed or too late
    Given a quick cluster
    When booking-1 crosses its next 3 answers
    And 8 visits are looked up through both hosts
    Then every lookup got its own answer
    When booking-1 crosses its next 2 answers
    And 2 bookings are sent through both hosts
    Then every booking got its own answer or "outcome_unknown"
    When booking-1 answers 1.6 seconds late
    And 2 bookings are sent through both hosts
    And booking-1 answers 0 seconds late
    And 4 bookings are sent through both hosts
    Then every booking got its own answer or "outcome_unknown"
    And no booking ran twice

  Scenario: Engines crash while they stream
    Given a quick cluster
    When 12 streams of 120 pieces run through both hosts
    And every engine that streams crashes in turn for 0.4 seconds
    Then every stream is whole and is the known text
    And at least 1 stream was running on an engine that crashed

  Scenario: Crashes, silence, crossed answers and breaks come together
    Given a relayed cluster
    When every engine crosses its next 1 answers from piece 2 on
    And 12 streams of 250 pieces run through both hosts
    And the open connections from both hosts to the engines stop responding permanently
    And every engine that streams crashes in turn for 0.2 seconds
    Then every stream is whole and is the known text
    And at least 1 stream was running on an engine that crashed
