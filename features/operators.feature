Feature: What operators see

  Scenario: A failure domain out and back
    When the operator runs "domain out rennes --wait"
    Then the command exits with 0 and prints "in force everywhere"
    And every hub names "rennes" as out
    And hub 0 answers a check
    When the operator runs "domain in rennes --wait"
    Then the command exits with 0 and prints "in force everywhere"
    And every hub names "" as out

  Scenario: A watch prints changes as they come
    Given an operator watches "domain watch vannes --for-s 8"
    When the operator runs "domain out vannes --wait"
    And the operator runs "domain in vannes --wait"
    Then the watch prints "state=out" and after it "state=in"

  Scenario Outline: Clear errors
    When the operator runs "<command>"
    Then the command exits with <status> and prints "<text>"

    Examples:
      | command                              | status | text           |
      | contract show nobody                 | 1      | no such object |
      | change wait contract yard            | 0      | in force       |
      | upstream leave hire-9                | 1      | no such object |
      | contract apply missing.yaml          | 2      | missing.yaml   |
      | contract show yard                   | 0      | hire-assistant |
      | move wait hire-assistant             | 1      | no such object |

  Scenario: A contract that does not pass its checks
    Given a file with the contract "bad" and the tiers "check, gold"
    When the operator applies the file
    Then the command exits with 2 and prints "gold"

  Scenario: Operators who race
    Given a file with the contract "new" and the tiers "check"
    When the operator applies the file with version 0
    Then the command exits with 0 and prints "accepted"
    When the operator applies the file with version 0
    Then the command exits with 3 and prints "the object is at version 1"

  Scenario: The platform is away
    Given the platform is down
    When the operator runs "domain out brest"
    Then the command exits with 4 and prints "no answer from the object API"
