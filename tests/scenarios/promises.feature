Feature: What must always hold

  Scenario: All ranks of a group work from one map in every step
    Given a group of three ranks
    When a planner dies after one rank got its confirmation
    And that rank is cut off before the others ask
    Then the group waits
    When everything is mended
    Then the group steps on the new map
    And no step had more than one map

  Scenario: A caller receives the whole answer to its own request
    Given two data centres
    When two callers book at once under the same key of two accounts
    Then each gets the answer to its own booking

  Scenario: What was told not to have run did not run
    Given two data centres
    And the targets of one data centre are full
    When many callers book there without patience
    Then every booking told not-run has not run
    And some were told not-run, with a time to come back

  Scenario: A booking runs at most once
    Given two data centres
    When a booking is made and its holder is killed and replaced
    And the same booking is asked again through the other data centre
    Then the caller is told that the outcome is unknown
    And the booking ran once

  Scenario: A leaving target receives no new work
    Given two data centres
    When the platform's list says that a target leaves
    And 3 seconds pass
    And many callers ask for cards
    Then the leaving target ran none of them

  Scenario: A planned stop cuts off no request in flight
    Given two data centres
    When a stream of bookings runs while every instance is replaced in turn
    Then every booking is answered

  Scenario: An accepted text is in force everywhere and never reverts
    Given two data centres
    When one data centre is cut off and two operators race
    And everything is mended
    And 5 seconds pass
    Then the winner's text is in force everywhere
    And no process was ever seen to go back
