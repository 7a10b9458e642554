@crashing_runners
Feature: A request that crashes its runners is stopped by all entries together

  # Guards against a repeated request that ends one runner after another.
  Scenario Outline: A request that crashes runners comes again at every entry
    When <path> is requested 12 times, at each entry in turn
    Then it has crashed at most 2 runners
    And the last 6 requests were refused at once, with a Retry-After of at least 60 s
    And other requests are served by every entry

    Examples: paths
      | path                 |
      | /stock/crash         |
      | /orders/crash        |
      | /stream/crash        |
      | /stock/crash-silent  |
      | /stream/crash-silent |
