Feature: No client account gets more than its rate and burst over all hosts together

  Five hosts in three failure domains serve a client account of 100 tokens a second, burst 50,
  whose callers send several times as much. Calls cost 2 tokens.

  @own_cluster
  Scenario: A domain is cut off while a host is paused past its lease
    Given five linked hosts that receive several times the rate of a client account
    When domain "south" is cut off from the others and from the platform under load
    And host "n1" is paused until its share was granted again
    And host "n1" is cut off from all other hosts and from the platform
    And host "n1" is resumed
    Then host "n1" admits nothing for 3 seconds
    When the cut under load is healed
    Then the whole rate is admitted again within 20 seconds
    And no interval had more than rate and burst

  @own_cluster
  Scenario: A host is killed and started again while the platform loses answers
    Given five linked hosts that receive several times the rate of a client account
    When the platform loses 30% of its answers under load
    And host "n1" is killed under load
    And host "n1" is started again under load
    And host "s1" is shut down gracefully and started again
    And the platform has recovered
    Then the whole rate is admitted again within 20 seconds
    And no interval had more than rate and burst

  @own_cluster
  Scenario: The platform is away while a host is frozen and another starts again
    Given five linked hosts that receive several times the rate of a client account
    When the platform goes down under load
    And host "n2" is paused for 4 seconds
    And host "e1" is killed under load
    And host "e1" is started again under load
    Then host "e1" admits calls within 5 seconds
    When the platform has recovered
    Then the whole rate is admitted again within 20 seconds
    And no interval had more than rate and burst

  @own_cluster
  Scenario: The rate is lowered while a domain is cut off
    Given five linked hosts that receive several times the rate of a client account
    When domain "south" is cut off from the others and from the platform under load
    And the rate is lowered to half
    Then every reachable host is held to the lowered rate less what the domain keeps
    When the cut under load is healed
    Then all hosts together are held to the lowered rate within 11 seconds
    And no interval had more than rate and burst
