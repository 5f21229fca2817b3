Feature: Command line
  Scenario: The program describes itself
    When the operator runs "turmericproxy --help"
    Then the output mentions "turmericproxy"
