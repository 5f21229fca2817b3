Feature: A booking runs at most once
  Four entry hosts in two failure domains before two booking services. Every booking is repeated
  through other hosts until it has an answer; the services record what actually ran.

  Scenario Outline: Bookings and their repeats while <failure>
    Given a booking cluster
    When at least 200 bookings are sent and repeated over all hosts while <failure>
    Then no idempotency key ran twice
    And nothing ran that was reported as "not_run"
    And every booking returned its one run or reported its true outcome
    And at least <share>% of the bookings were answered
    And the failures took place

    Examples:
      | failure                                       | share |
      | the platform loses and delays writes          | 95    |
      | hosts are killed and restarted                | 80    |
      | the platform is down and slow                 | 95    |
      | services break off before and after a run     | 60    |
      | a host is paused                              | 95    |
      | the platform fails and hosts are killed       | 50    |

  Scenario: Platform away, a booking is refused at once
    Given a booking cluster
    When the platform refuses every call
    Then new bookings at every host are refused with "claim_unavailable" within 1 second
    And a booking goes through once the platform is back
