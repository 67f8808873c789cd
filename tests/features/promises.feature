@prove
Feature: What operators and callers can rely on when something fails

  Background:
    Given a small system of two hosts, two engines and an order desk

  Scenario: A booking during an outage of the store
    When the store is out
    And a customer books freight
    Then the booking is refused as not run
    And the order desk has not seen the booking
    When the store is back
    And the customer sends the same booking again
    Then the booking has run once

  Scenario: A booking whose answer is lost, and is sent again
    When the order desk runs a booking but its answer is lost
    Then the caller is told that the outcome is not known
    When the customer sends the same booking again
    Then the booking has run once

  Scenario: An engine is killed in the middle of a stream
    When a customer asks for a long streamed answer
    And the engine that serves it is killed
    Then the customer gets the whole answer

  Scenario: A key is withdrawn while its holder is connected
    When a customer asks for a very long streamed answer
    And an operator withdraws the customer's key
    Then every host refuses the key within 5 seconds
    And the stream ends within 5 seconds without its end marker
    And the customer's other key still works

  Scenario: A planned stop of an entry host
    When a customer asks for a long streamed answer
    And the host that serves it is told to stop
    Then the customer gets the whole answer
    And the process ends by itself with status 0
    And callers are served by the other host

  Scenario: Two operators race
    When two operators apply different configurations at the same moment
    Then one is accepted and the other is told of the conflict
    And both hosts show the accepted configuration within 9 seconds
