#ifndef HAWTHORNSPUR_SERVE_METRICS_HPP
#define HAWTHORNSPUR_SERVE_METRICS_HPP

#include "core/pool_effects.hpp"
#include "core/time.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::serve
{

/// Counters and histograms of one host.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Counts the end of a call; the code is ok for a complete answer.
    void count_result(std::string const& service, result_code code);

    /// Counts an attempt sent to a target.
    void count_attempt(std::string const& service, core::attempt_reason reason);

    /// Counts a request forwarded to another host.
    void count_forward(std::string_view reason);

    /// Counts an event that has no result code, such as a late answer.
    void count_event(std::string_view event);

    /// Records the time from the arrival of a call to the end of its answer.
    void record_call_time(std::string const& service, core::duration total);

    /// Records the time that a call spent on this host: its total time less
    /// that of its attempts at targets.
    void record_added_time(core::duration added);

    /// A value that is kept elsewhere and added to the metrics page.
    struct sample
    {
        std::string m_name;
        std::string m_help;
        double m_value = 0;
        bool m_is_counter = false;
        std::vector<std::pair<std::string, std::string>> m_labels;
    };

    /// Returns the metrics page in the Prometheus text format.
    std::string to_text(std::vector<sample> const& samples) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

std::string_view to_string(core::attempt_reason reason) noexcept;

} // namespace hawthornspur::serve

#endif
