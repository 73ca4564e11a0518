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

/// Counters and histograms of one host, kept for the life of the process.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// A call of a caller or peer ended with this code; ok for a whole answer.
    void count_result(std::string const& service, result_code code);

    /// An attempt was sent to a target, and why.
    void count_attempt(std::string const& service, core::attempt_reason reason);

    /// A request was sent on to another host for this reason.
    void count_forward(std::string_view reason);

    /// Something that has no code of its own, such as a late answer.
    void count_event(std::string_view event);

    /// From the arrival of a call to the end of its answer.
    void record_call_time(std::string const& service, core::duration total);

    /// The part of a call's time that it spent on this host: total time less
    /// the time of the attempt at the target.
    void record_added_time(core::duration added);

    /// A value read from elsewhere when the page is written.
    struct sample
    {
        std::string m_name;
        std::string m_help;
        double m_value = 0;
        bool m_is_counter = false;
        std::vector<std::pair<std::string, std::string>> m_labels;
    };

    /// The page in the Prometheus text format.
    std::string to_text(std::vector<sample> const& samples) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

std::string_view to_string(core::attempt_reason reason) noexcept;

} // namespace hawthornspur::serve

#endif
