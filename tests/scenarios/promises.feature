Feature: Guarantees

  Scenario: All ranks of a group work from one map in every step
    Given a group of three ranks
    When a planner dies after one rank received its confirmation
    And that rank is frozen before the others query it
    Then the group waits
    When all faults are removed
    Then the group steps on the new map
    And no step had more than one map

  Scenario: A caller receives the complete response to its own request
    Given two data centres
    When two callers of different accounts book at once with the same key
    Then each gets the response to its own booking

  Scenario: A request reported as not run has not run
    Given two data centres
    And the targets of one data centre are full
    When many callers book there with a short timeout
    Then every booking reported as not-run has not run
    And some were reported as not-run, with a Retry-After

  Scenario: A booking runs at most once
    Given two data centres
    When a booking is made and its holder is killed and replaced
    And the same booking is retried through the other data centre
    Then the response says that the outcome is unknown
    And the booking ran once

  Scenario: A leaving target receives no new work
    Given two data centres
    When the platform's list says that a target leaves
    And 3 seconds pass
    And many callers request cards
    Then the leaving target ran none of them

  Scenario: A planned stop cuts off no request in flight
    Given two data centres
    When bookings arrive while every instance is replaced in turn
    Then every booking succeeds

  Scenario: An accepted text is in force everywhere and never reverts
    Given two data centres
    When one data centre is isolated and two operators apply texts at once
    And all faults are removed
    And 5 seconds pass
    Then the accepted text is in force everywhere
    And no process ever reverted to an older text
