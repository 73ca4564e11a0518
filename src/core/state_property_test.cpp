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
rc::Gen<std::vector<Step>> steps(std::size_t count)
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

// RapidCheck prints counterexamples with these.
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

// Guards against damage that callers see: a key that runs twice, a copy that
// gets another request's answer or a wrong "not run", a table without bounds.
TEST_CASE("a key runs at most once whatever is lost, crossed or restarted")
{
    CHECK(rc::check(
        [](std::uint32_t)
        {
            auto const script = *steps<models::once_step>(1000);
            auto model = models::make_once_model();
            for (auto const& step : script)
            {
                apply(model, step);
                RC_ASSERT(model.m_violation == "");
            }
        }));
}

// Guards against hosts that disagree for ever, dispatch after a pause without
// having heard a peer, go back to an older configuration or miss one.
TEST_CASE("hosts agree after any faults and never go back")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            models::cluster_settings settings;
            settings.m_hosts = *rc::gen::inRange<std::size_t>(1, 13);
            settings.m_zones = *rc::gen::inRange<std::size_t>(1, 5);
            settings.m_reports_link_loss = *rc::gen::arbitrary<bool>();
            settings.m_seed = seed;
            auto c = models::make_cluster(settings);
            for (auto const& step : *steps<models::cluster_step>(40))
            {
                apply(c, step);
                RC_ASSERT(c.m_violations == std::vector<std::string>{});
            }
            models::end_script(c);
            RC_ASSERT(c.m_violations == std::vector<std::string>{});
        }));
}

} // namespace hawthornspur::core
