Feature: Searches through real processes

  @invariant_1 @fault_repartition @step_pin @step_merge
  Scenario: Shards are repartitioned while queries run
    Given a running fleet
    And 40 searches a second
    When version 2 is published with another shard map
    And 2 seconds pass
    And version 1 is gone
    And 2 seconds pass
    Then point 1 holds
    And point 2 holds
    And every search since the start was answered in full
    And answers came from versions 1 and 2

  @invariant_1 @fault_repartition @fault_platform_down @step_pin @step_apply
  Scenario: A snapshot goes while the platform can't tell of the next one
    Given a running fleet
    And 40 searches a second
    When version 2 is published with another shard map
    And 1 seconds pass
    And the platform is down for all
    And version 1 is gone
    And 2 seconds pass
    Then point 1 holds
    And point 2 holds

  @invariant_2 @fault_replica_lost @step_merge @step_answer
  Scenario: A shard without any replica is named as missing
    Given a running fleet
    And 40 searches a second
    When 1 seconds pass
    And the replica "sorting-002/r0" is killed
    And the replica "sorting-002/r1" is killed
    And 2 seconds pass
    Then point 2 holds
    And the last search names a missing shard

  @invariant_2 @fault_replica_killed @step_send @step_wait
  Scenario: One replica of each group is killed under load
    Given a running fleet
    And 40 searches a second
    When 1 seconds pass
    And the replica "sorting-001/r0" is killed
    And the replica "sorting-003/r1" is killed
    And 2 seconds pass
    Then point 2 holds
    And every search since the start was answered in full

  @invariant_3 @fault_cold_start @step_send @step_hedge
  Scenario: Upstreams restart without notice under load
    Given a running fleet
    And 120 searches a second
    When 1 seconds pass
    And all upstreams restart
    And 3 seconds pass
    And all upstreams restart
    And 3 seconds pass
    Then point 3 holds
    And point 2 holds

  @invariant_3 @fault_cold_start @fault_lying_report @step_send
  Scenario: Upstreams turn cold quietly and report that they are warm
    Given a running fleet
    And 120 searches a second
    When 3 seconds pass
    And all upstreams turn cold quietly
    And 3 seconds pass
    Then no replica got more than its slots
    And each replica got work over its cold bound for at most 0.2 seconds

  @invariant_3 @fault_vm_killed @fault_vm_empty @step_change_owner @step_send
  Scenario: An owner is killed and comes back empty
    Given a running fleet
    And 120 searches a second
    When 1 seconds pass
    And the process "vm-2-dispatch" gets SIGKILL
    And 1 seconds pass
    And the process "vm-2-dispatch" starts again
    And 7 seconds pass
    Then point 3 holds
    And point 2 holds

  @invariant_3 @fault_pause @step_change_owner @step_send
  Scenario: An owner is stopped, loses its replicas and wakes late
    Given a running fleet
    And 120 searches a second
    When the process "vm-3-dispatch" gets SIGSTOP
    And the list names vm-3 as gone
    And 6 seconds pass
    And the process "vm-3-dispatch" gets SIGCONT
    And 2 seconds pass
    Then point 3 holds
    And point 2 holds

  @invariant_3 @fault_partition @fault_platform_down @step_change_owner @step_send
  Scenario: An owner is cut off and another takes its replicas
    Given a running fleet
    And 120 searches a second
    When vm-4 is cut off
    And the list names vm-4 as gone
    And 7 seconds pass
    And the cuts are healed
    And 2 seconds pass
    Then point 3 holds
    And point 2 holds

  @invariant_3 @fault_operators_race @step_change_owner
  Scenario: Operators take VMs out and in against each other
    Given a running fleet
    And 120 searches a second
    When the list names vm-2 as leaving
    And the list names vm-2 as live
    And the list names vm-3 as leaving
    And 1 seconds pass
    And the list names vm-3 as live
    And the list names vm-2 as leaving
    And 3 seconds pass
    Then point 3 holds
    And point 2 holds

  @invariant_4 @fault_operators_race @step_send @step_hedge @step_resolve
  Scenario: A data centre is taken out and brought back under load
    Given a running fleet
    And 40 searches a second
    When the operators take alvesta out
    And 5 seconds pass
    And the operators bring alvesta back
    And 2 seconds pass
    Then point 4 holds
    And every search since the start was answered in full

  @invariant_4 @fault_platform_down @step_send @step_apply
  Scenario: A data centre goes out while the platform is down for most VMs
    Given a running fleet
    And 40 searches a second
    When the platform is down for vm-1, vm-2, vm-3
    And the operators take ljungby out
    And 5 seconds pass
    Then point 4 holds
    And point 10 holds
    And every search since the start was answered in full

  @invariant_4 @fault_pause @step_send @step_admit
  Scenario: A VM sleeps through the change of a data centre
    Given a running fleet
    And 40 searches a second
    When the process "vm-1-dispatch" gets SIGSTOP
    And the process "vm-1-entry" gets SIGSTOP
    And the operators take vaxjo out
    And 4 seconds pass
    And the process "vm-1-entry" gets SIGCONT
    And the process "vm-1-dispatch" gets SIGCONT
    And 3 seconds pass
    Then point 4 holds

  @invariant_4 @fault_vm_killed @step_send
  Scenario: A data centre goes out as an entry VM is killed
    Given a running fleet
    And 40 searches a second
    When the process "vm-2-dispatch" gets SIGKILL
    And the process "vm-2-entry" gets SIGKILL
    And the operators take alvesta out
    And 5 seconds pass
    Then point 4 holds
    And point 2 holds

  @invariant_5 @fault_straggler @step_wait @step_merge
  Scenario: Late answers cross the next requests
    Given a running fleet
    And stragglers are 30 of 100 answers
    And 60 searches a second with a deadline of 60 ms
    When 4 seconds pass
    Then point 5 holds
    And point 2 holds

  @invariant_5 @fault_vm_killed @step_wait @step_merge
  Scenario: Links break in the middle of queries
    Given a running fleet
    And 60 searches a second
    When 1 seconds pass
    And the process "vm-1-dispatch" gets SIGKILL
    And the process "vm-1-dispatch" starts again
    And 2 seconds pass
    Then point 5 holds
    And point 2 holds

  @invariant_8 @fault_operators_race @step_send @step_hedge
  Scenario: A replica leaves under load
    Given a running fleet
    And 40 searches a second
    When the replica "sorting-001/r0" is leaving
    And 5 seconds pass
    Then point 8 holds
    And every search since the start was answered in full

  @invariant_8 @fault_platform_stale @step_apply @step_send
  Scenario: A replica leaves while most readers of the platform are stale
    Given a running fleet
    And 40 searches a second
    When the platform is stale for vm-1, vm-2, vm-4
    And the replica "sorting-004/r1" is leaving
    And 5 seconds pass
    Then point 8 holds
    And point 10 holds

  @invariant_8 @fault_pause @step_send
  Scenario: A VM sleeps through a replica's leaving
    Given a running fleet
    And 40 searches a second
    When the process "vm-4-dispatch" gets SIGSTOP
    And the replica "sorting-000/r0" is leaving
    And the replica "sorting-005/r1" is leaving
    And 4 seconds pass
    And the process "vm-4-dispatch" gets SIGCONT
    And 3 seconds pass
    Then point 8 holds

  @invariant_9 @fault_vm_killed @step_shut_down @step_resolve
  Scenario: An entry process shuts down while callers hold its address
    Given a running fleet
    And 60 searches a second
    When 1 seconds pass
    And the process "vm-3-entry" gets SIGTERM and ends with 0
    And 1 seconds pass
    Then point 9 holds
    And no search was cut
    And every search since the start was answered in full

  @invariant_9 @fault_operators_race @step_shut_down @step_change_owner
  Scenario: A whole VM leaves the list and shuts down
    Given a running fleet
    And 60 searches a second
    When the list names vm-4 as leaving
    And the process "vm-4-entry" gets SIGTERM and ends with 0
    And the process "vm-4-dispatch" gets SIGTERM and ends with 0
    And 1 seconds pass
    Then point 9 holds
    And no search was cut
    And every search since the start was answered in full

  @invariant_9 @fault_platform_down @step_shut_down
  Scenario: An entry process shuts down while the platform is down
    Given a running fleet
    And 60 searches a second
    When the platform is down for all
    And 1 seconds pass
    And the process "vm-1-entry" gets SIGTERM and ends with 0
    And 1 seconds pass
    Then point 9 holds
    And no search was cut

  @invariant_10 @fault_operators_race @step_apply
  Scenario: Two operators publish in a race, with a mistake between
    Given a running fleet
    When a configuration is published
    And an invalid configuration is published
    And a configuration is published
    And a configuration is published
    And 4 seconds pass
    Then point 10 holds
    And the newest valid configuration is in force everywhere

  @invariant_10 @fault_platform_stale @fault_vm_empty @step_apply
  Scenario: An empty VM with a stale reader never goes back
    Given a running fleet
    When the platform is stale for vm-2
    And a configuration is published
    And 2 seconds pass
    And the process "vm-2-dispatch" gets SIGKILL
    And the process "vm-2-entry" gets SIGKILL
    And the process "vm-2-dispatch" starts again
    And the process "vm-2-entry" starts again
    And 4 seconds pass
    Then point 10 holds
    And the newest valid configuration is in force everywhere

  @invariant_10 @fault_partition @step_apply
  Scenario: A VM that was cut off catches up when it is healed
    Given a running fleet
    When vm-1 is cut off
    And a configuration is published
    And 4 seconds pass
    And the cuts are healed
    And 3 seconds pass
    Then point 10 holds
    And the newest valid configuration is in force everywhere

  @invariant_10 @fault_platform_down @fault_pause @step_apply
  Scenario: A process sleeps through a change while the platform is down for others
    Given a running fleet
    When the process "vm-3-dispatch" gets SIGSTOP
    And the platform is down for vm-1, vm-3, vm-4
    And a configuration is published
    And 4 seconds pass
    And the process "vm-3-dispatch" gets SIGCONT
    And 3 seconds pass
    Then point 10 holds
    And the newest valid configuration is in force everywhere
