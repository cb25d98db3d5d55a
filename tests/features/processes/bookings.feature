Feature: Bookings through real processes

  @invariant_7 @fault_operators_race @step_spend
  Scenario: Callers send each booking twice, while operators move VMs
    Given a running fleet
    And 20 bookings a second, each sent twice
    When 1 seconds pass
    And the list names vm-2 as leaving
    And 2 seconds pass
    And the list names vm-2 as live
    And 2 seconds pass
    Then point 7 holds
    And point 6 holds

  @invariant_7 @fault_vm_killed @fault_vm_empty @step_spend
  Scenario: The issuer of a ticket is killed while bookings run
    Given a running fleet
    And 30 bookings a second, each sent twice
    When 1 seconds pass
    And the process "vm-1-dispatch" gets SIGKILL
    And the process "vm-1-dispatch" starts again
    And 2 seconds pass
    Then point 7 holds
    And point 6 holds

  @invariant_7 @fault_replica_killed @step_spend @step_send
  Scenario: Upstreams run bookings and lose the answers
    Given a running fleet
    When upstreams lose their answers to bookings
    And a booking is sent
    And the same booking is sent again through every entry VM
    Then no reply says that it was not run
    And the booking ran 1 times
    And point 7 holds

  @invariant_7 @fault_pause @step_spend
  Scenario: The issuer sleeps while the caller repeats its booking
    Given a running fleet
    When a ticket is issued
    And the issuer gets SIGSTOP
    And the booking of the ticket is sent
    And 1 seconds pass
    And the issuer gets SIGCONT
    And 1 seconds pass
    And the same booking is sent again through every entry VM
    Then the booking ran at most once
    And point 6 holds
    And point 7 holds

  @invariant_6 @fault_operators_race @step_admit @step_spend
  Scenario: A booking that can't be run is truly refused
    Given a running fleet
    When a ticket is issued
    And all data centres are taken out
    And 3 seconds pass
    And the booking of the ticket is sent
    Then the reply says that it was not run
    And the booking ran 0 times
    And point 6 holds

  @invariant_6 @fault_replica_killed @step_send
  Scenario: No upstream accepts connections
    Given a running fleet
    When a ticket is issued
    And every booking replica is killed
    And the booking of the ticket is sent
    Then the reply says that it was not run
    And the booking ran 0 times
    And point 6 holds

  @invariant_6 @fault_partition @fault_platform_down @step_spend
  Scenario: The issuer is cut off from everyone
    Given a running fleet
    When a ticket is issued
    And the issuer is cut off
    And 3 seconds pass
    And the booking of the ticket is sent through every VM but the issuer's
    Then no reply says that it was not run
    When the booking of the ticket is sent through the issuer's VM
    Then the reply says that it was not run
    And the booking ran 0 times
    And point 6 holds

  @invariant_6 @fault_straggler @step_wait
  Scenario: The deadline passes while a booking runs
    Given a running fleet
    And stragglers are 100 of 100 answers
    When a ticket is issued
    And the booking of the ticket is sent within 20 ms
    Then no reply says that it was not run
    And point 6 holds

  @invariant_6 @fault_vm_killed @step_spend
  Scenario: The memory of a ticket is gone
    Given a running fleet
    When a ticket is issued
    And the issuer is killed and starts again
    And the booking of the ticket is sent
    Then no reply says that it was not run
    And the booking ran 0 times
