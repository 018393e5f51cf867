Feature: What callers see

  Scenario Outline: A whole answer, streamed or not
    When account "yard" asks hub <hub> in tier "<tier>" for 12 tokens <how>
    Then the answer has all 12 tokens in order

    Examples:
      | hub | tier  | how      |
      | 0   | check | whole    |
      | 1   | plan  | streamed |
      | 2   | plan  | whole    |

  Scenario Outline: A clear refusal
    When a caller sends <request>
    Then the refusal has status <status>, reason "<reason>" and run "no"

    Examples:
      | request                    | status | reason          |
      | a wrong key                | 401    | unauthenticated |
      | a body that is not JSON    | 400    | bad_request     |
      | a body that is too large   | 413    | body_too_large  |
      | a header that is too large | 431    | header_too_large |
      | an unknown model           | 403    | not_allowed     |
      | a tier of another contract | 403    | not_allowed     |
      | a prompt that is too long  | 400    | too_many_tokens |

  Scenario: A connection serves again after a refusal
    When one connection carries a wrong key and then a question
    Then the answer has all 12 tokens in order

  Scenario: A caller that goes away frees its place
    When a caller leaves hub 1 in the middle of a long answer
    Then no hub and no engine has work in progress

  Scenario: A booking with one key at two hubs
    When account "yard" books "ladder 7" with key "k1" at hubs 0, 1 and 2 at once
    Then the booking "ladder 7" ran once
    And booking "ladder 7" again with key "k1" gives the first answer
    And booking "ladder 8" with key "k1" is refused with reason "key_reuse"

  Scenario: A booking while the platform is down
    Given the platform is down
    When account "yard" books "ladder 9" with key "k9" at hub 1
    Then the booking is refused with reason "ledger_unavailable" and run "no"
    And the booking "ladder 9" ran 0 times

  Scenario: Every hub reads the engines' load reports
    Then every hub has read reports of every upstream and refused none

  Scenario Outline: A failing engine does not show
    Given the next answer of every engine is <fault>
    When account "yard" asks hub 0 in tier "plan" for 12 tokens streamed
    Then the answer has all 12 tokens in order

    Examples:
      | fault          |
      | cut            |
      | crossed        |
      | stalled        |
