Feature: Control decisions on a clock that the tests advance

  @invariant_3 @fault_partition @fault_platform_stale @step_change_owner
  Scenario: A stale reader that is cut off too gives its replicas up
    Given a settled cell
    When the reader of vm-2 becomes stale
    And vm-2 is isolated
    And vm-2 is listed as gone
    And 12 seconds go by
    Then no replica had two owners

  @invariant_3 @fault_vm_killed @fault_vm_empty @fault_partition @step_change_owner
  Scenario: An owner comes back empty while two others can't hear each other
    Given a settled cell
    When vm-1 and vm-3 are cut
    And vm-2 is killed
    And 1 seconds go by
    And vm-2 starts empty
    And 9 seconds go by
    Then no replica had two owners
    And every replica has an owner

  @invariant_3 @fault_platform_down @fault_vm_killed @step_change_owner
  Scenario: The platform is down and one VM is lost
    Given a settled cell
    When the platform is down for everyone
    And vm-2 is killed
    And 20 seconds go by
    Then no replica had two owners
    And at most half of the replicas have no owner

  @invariant_4 @fault_partition @fault_platform_down @step_send @step_apply
  Scenario: A data centre goes out while one VM hears nobody
    Given a settled cell
    When vm-3 is isolated
    And the platform is down for vm-3 alone
    And alvesta is taken out
    And 10 seconds go by
    Then nothing was sent to alvesta after 3 seconds

  @invariant_4 @fault_platform_stale @step_send @step_apply
  Scenario: A data centre goes out and three readers are stale
    Given a settled cell
    When the readers of vm-1, vm-2 and vm-3 become stale
    And alvesta is taken out
    And 10 seconds go by
    Then nothing was sent to alvesta after 3 seconds

  @invariant_4 @fault_pause @step_send
  Scenario: A VM is paused through a change and wakes late
    Given a settled cell
    When vm-2 is paused
    And alvesta is taken out
    And 5 seconds go by
    And vm-2 goes on
    And 5 seconds go by
    Then nothing was sent to alvesta after 3 seconds

  @invariant_4 @fault_vm_empty @fault_platform_stale @step_send @step_apply
  Scenario: A VM is replaced empty and its reader is stale
    Given a settled cell
    When the reader of vm-2 becomes stale
    And alvesta is taken out
    And 1 seconds go by
    And vm-2 is killed
    And vm-2 starts empty
    And 10 seconds go by
    Then nothing was sent to alvesta after 3 seconds
    And no document went back

  @invariant_8 @fault_partition @fault_platform_down @step_send
  Scenario: A replica leaves while one VM hears nobody
    Given a settled cell
    When vm-1 is isolated
    And the platform is down for vm-1 alone
    And sorting-1/r0 is leaving
    And 10 seconds go by
    Then nothing was sent to sorting-1/r0 after 3 seconds

  @invariant_8 @fault_operators_race @fault_vm_empty @step_send
  Scenario: A replica leaves as operators move VMs
    Given a settled cell
    When vm-2 is listed as leaving
    And sorting-1/r0 is leaving
    And vm-2 is listed as live
    And vm-3 is killed
    And vm-3 starts empty
    And 10 seconds go by
    Then nothing was sent to sorting-1/r0 after 3 seconds
    And no replica had two owners

  @invariant_8 @fault_vm_killed @step_send
  Scenario: A replica leaves as its owner is killed
    Given a settled cell
    When sorting-1/r0 is leaving
    And the owner of sorting-1/r0 is killed
    And 10 seconds go by
    Then nothing was sent to sorting-1/r0 after 3 seconds

  @invariant_10 @fault_partition @fault_vm_killed @step_apply
  Scenario: A partition heals after changes on both sides
    Given a settled cell
    When vm-1 is isolated
    And alvesta is taken out
    And vm-4 is killed
    And 4 seconds go by
    And the network heals
    And vm-4 starts empty
    And 5 seconds go by
    Then no document went back
    And every VM holds the newest documents

  @invariant_10 @fault_platform_stale @fault_pause @step_apply
  Scenario: Every reader but one is stale and one VM sleeps
    Given a settled cell
    When the readers of vm-1, vm-2 and vm-3 become stale
    And vm-1 is paused
    And alvesta is taken out
    And 5 seconds go by
    And vm-1 goes on
    And 3 seconds go by
    Then no document went back
    And every VM holds the newest documents

  @invariant_10 @fault_operators_race @fault_platform_down @step_apply
  Scenario: A race of operators with a mistake between, seen by one VM only
    Given a settled cell
    When the platform is down for all but vm-4
    And alvesta is taken out
    And an invalid configuration comes
    And alvesta is brought back
    And 4 seconds go by
    Then no document went back
    And every VM holds the newest documents
