#include "serve/metrics.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::serve
{

// Guards against refusals and retries that are missing from the metrics.
TEST_CASE("each refusal code and retry reason has its own counter")
{
    metrics counters;
    counters.count_result("map", result_code::queue_full);
    counters.count_result("map", result_code::queue_full);
    counters.count_result("map", result_code::deadline_unreachable);
    counters.count_attempt("map", core::attempt_reason::retry_after_shed);
    counters.record_call_time("map", std::chrono::milliseconds(3));
    auto const text = counters.to_text(
        {{"hawthornspur_generation", "In force.", 7, false, {}}});
    for (auto const* line :
         {"hawthornspur_results_total{service=\"map\",code=\"2001\",name="
          "\"queue_full\",execution=\"not-run\"} 2",
          "name=\"deadline_unreachable\"",
          "hawthornspur_attempts_total{service=\"map\",reason="
          "\"retry_after_shed\"} 1",
          "hawthornspur_call_milliseconds_count{service=\"map\"} 1",
          "hawthornspur_generation 7"})
    {
        CAPTURE(text);
        CHECK(text.find(line) != std::string::npos);
    }
}

} // namespace hawthornspur::serve
