Feature: Hosts and upstreams leave without failed requests
  Callers use a load balancer that sends new requests only to hosts that report that they are ready.

  Scenario: A leaving engine and a leaving service get no new work after 3 seconds
    Given a quick cluster
    When 6 callers stream and look visits up through both hosts without pause
    And engine-1 and booking-2 are set to leave
    Then neither gets a new request from 3 seconds on for 2 seconds
    And no request of the callers was cut or refused

  Scenario: A graceful shutdown under load cuts no request
    Given a quick cluster
    When 8 callers stream, ask and book through ready hosts without pause
    And host-a is asked to stop after 1 second
    And the callers continue for 1 second after it has stopped
    Then host-a has ended with exit code 0
    And no request of the callers was cut or refused
    And both hosts have served requests
