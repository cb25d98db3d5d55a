Feature: Decisions of one query, with owners whose replies the tests choose

  @invariant_1 @fault_repartition @step_merge
  Scenario: A part of another snapshot is not merged
    Given a query over 4 shards
    When sorting-1/r0 answers from version 2
    And sorting-1/r1 answers from version 2
    Then the answer covers 3 shards of version 1
    And s1 is missing

  @invariant_1 @fault_repartition @fault_replica_lost @step_pin
  Scenario: The pinned snapshot is gone and the query runs anew at another
    Given a query over 4 shards
    And snapshot 2 is listed too
    When every replica says that version 2 is gone
    Then the answer covers 4 shards of version 1

  @invariant_2 @fault_replica_lost @step_merge @step_answer
  Scenario: A shard without an answer is named with its reason
    Given a query over 4 shards
    When sorting-2/r0 says upstream_failed
    And sorting-2/r1 says upstream_failed
    Then the answer covers 3 shards of version 1
    And s2 is missing

  @invariant_2 @fault_partition @step_wait @step_answer
  Scenario: The owner of some replicas never replies
    Given a query over 4 shards
    When sorting-0/r0 stays silent
    And sorting-0/r1 stays silent
    Then the answer covers 3 shards of version 1
    And s0 is missing

  @invariant_2 @fault_cold_start @step_send
  Scenario: A full replica is passed over for the other one
    Given a query over 4 shards
    And no retry is allowed
    When sorting-3/r0 says queue_full
    And sorting-2/r1 says queue_full
    Then the answer covers 4 shards of version 1

  @invariant_5 @fault_straggler @step_hedge @step_merge
  Scenario: Both copies of a hedged part come back
    Given a query over 4 shards
    And hedges go out after 10 ms
    When sorting-1/r0 answers late
    And sorting-1/r1 answers late
    Then the answer covers 4 shards of version 1
    And each shard is merged once
    And at most 1 hedge went out

  @invariant_5 @fault_partition @step_wait
  Scenario: The link to an owner breaks and the other replicas answer
    Given a query over 4 shards
    When sorting-0/r0 once loses its link
    Then the answer covers 4 shards of version 1

  @invariant_2 @fault_operators_race @step_send @step_merge
  Scenario: One replica's owner changes while the other's data centre goes out
    Given a query over 4 shards
    And no retry is allowed
    When sorting-0/r0 once says not_ready
    And sorting-0/r1 once says out_of_service
    And sorting-2/r1 once says not_owner
    And sorting-2/r0 once says out_of_service
    Then the answer covers 4 shards of version 1

  @invariant_2 @fault_straggler @step_hedge
  Scenario: A hedge that the budget denied goes out when the budget is there
    Given a query over 4 shards
    And hedges go out after 10 ms
    And the hedge budget is earned after 50 ms
    When sorting-1/r0 is silent if asked first
    And sorting-1/r1 is silent if asked first
    Then the answer covers 4 shards of version 1
    And at most 1 hedge went out
