Feature: The command line, as the README shows it
  Scenario: The program describes itself
    When the operator runs "turmericproxy --help"
    Then the output mentions "turmericproxy"

  Scenario: The tour of the README
    Given a small cluster
    When a newcomer follows the README's tour
    Then each command has succeeded, and the caller was served until the key was withdrawn
