#include "core/models/cluster_script.hpp"
#include "core/models/model_step.hpp"
#include "core/models/once_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>
#include <tuple>

namespace hawthornspur::core
{

namespace
{

template <class Step>
rc::Gen<std::vector<Step>> generate_steps(std::size_t count)
{
    auto const number = rc::gen::inRange<std::uint32_t>(0, 1U << 20U);
    auto const step = rc::gen::map(
        rc::gen::tuple(number, number, number), [](auto const& numbers)
        { return std::apply(models::make_step<Step>, numbers); });
    return rc::gen::scale(static_cast<double>(count) / 100,
                          rc::gen::container<std::vector<Step>>(step));
}

} // namespace

namespace models
{

// Used by RapidCheck to print counterexamples.
std::ostream& operator<<(std::ostream& out, once_step const& step)
{
    return out << static_cast<int>(step.m_kind) << '/' << step.m_first_argument
               << '/' << step.m_second_argument;
}

std::ostream& operator<<(std::ostream& out, cluster_step const& step)
{
    return out << static_cast<int>(step.m_kind) << '/' << step.m_first_argument
               << '/' << step.m_second_argument;
}

} // namespace models

// Guards against a request that runs twice, a copy that gets the answer of
// another request or a wrong "not run", and a table that exceeds its bounds,
// after any sequence of lost and reordered messages, pauses and restarts.
TEST_CASE("a request with a key runs at most once under any faults")
{
    CHECK(rc::check(
        [](std::uint32_t)
        {
            auto const steps = *generate_steps<models::once_step>(1000);
            auto model = models::make_once_model();
            for (auto const& step : steps)
            {
                apply(model, step);
                RC_ASSERT(model.m_violation == "");
            }
        }));
}

// Guards against hosts that never reach the same view, dispatch after a pause
// before they receive a message from a peer, return to an older configuration
// or miss a new one.
TEST_CASE("hosts converge after any faults and keep the newest configuration")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            models::cluster_settings settings;
            settings.m_hosts = *rc::gen::inRange<std::size_t>(1, 13);
            settings.m_zones = *rc::gen::inRange<std::size_t>(1, 5);
            settings.m_reports_link_loss = *rc::gen::arbitrary<bool>();
            settings.m_seed = seed;
            auto cluster = models::make_cluster(settings);
            for (auto const& step : *generate_steps<models::cluster_step>(40))
            {
                apply(cluster, step);
                RC_ASSERT(cluster.m_violations == std::vector<std::string>{});
            }
            models::end_script(cluster);
            RC_ASSERT(cluster.m_violations == std::vector<std::string>{});
        }));
}

} // namespace hawthornspur::core
