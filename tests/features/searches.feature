Feature: Searches and bookings over the JSON interface

  Background:
    Given a running site

  Scenario: A search without faults covers every shard of one version
    When "search" is searched through every VM
    Then every answer covers all shards of one version
    And every answer has its hits in descending order

  Scenario: A shard without a working replica is the only one named as missing
    When no replica of "shard-3" responds
    And "search" is searched through every VM
    Then every answer names only "shard-3" as missing

  Scenario: A search that covers too few shards fails
    When no replica of "shard-1" responds
    And no replica of "shard-2" responds
    And no replica of "shard-3" responds
    And "search" is searched through every VM
    Then every reply is an error of status 503 or 504

  Scenario: A search is complete while a data centre is taken out of service
    When data centre "vaxjo" is taken out of service
    And 1 seconds pass
    And "search" is searched through every VM
    Then every answer covers all shards of one version

  Scenario: A booking is repeated through every VM
    When a ticket is issued
    And its booking is sent through every VM
    Then every reply holds the same confirmation
    And the booking ran 1 times

  Scenario: Every VM returns the outcome without running the booking again
    When a ticket is issued
    And its booking is sent through the issuer
    And its outcome is requested from every VM
    Then every reply holds the same confirmation
    And the booking ran 1 times

  Scenario: Upstreams run bookings and lose the answers
    When every replica of "records" answers with a reset
    And a ticket is issued
    And its booking is sent through every VM
    Then no reply says that it was not run
    And the booking ran 1 times

  Scenario: A booking that no upstream can take is refused as not run
    When a ticket is issued
    And all data centres are taken out of service
    And 1 seconds pass
    And its booking is sent through every VM
    Then every reply says that it was not run
    And the booking ran 0 times

  Scenario: The issuer restarts and loses its tickets
    When a ticket is issued
    And its issuer is killed and starts again
    And its booking is sent through every VM
    Then no reply says that it was not run
    And the booking ran 0 times

  Scenario: The issuer is paused while the caller repeats its booking
    When a ticket is issued
    And its issuer is paused
    And its booking is sent through every other VM within 300 ms
    And its issuer is resumed
    And 1 seconds pass
    And its booking is sent through every VM
    Then the booking ran at most once
    And no reply says that it was not run

  Scenario: A VM that shuts down gracefully interrupts no search
    When searches run while a VM gets SIGTERM
    Then every answer covers all shards of one version
    And the VM exits with code 0
