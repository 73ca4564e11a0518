// Prints the example configuration of Tiza Viva Festivales, an organiser of
// chalk festivals: 3 zones and 34 targets with 3 slots each.
#include "print_example.hpp"

namespace
{

using namespace hawthornspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int slots = 3;
constexpr int max_connections = 200;

/// A probe costs a target 6 ms and a new connection 1 ms; together they may use
/// 1.2% of its time.
probe_budget const probe_limits{.m_cost_per_second = milliseconds(12),
                                .m_probe_cost = milliseconds(6),
                                .m_connection_cost = milliseconds(1)};

void declare_plaza_map(configuration_builder& builder,
                       std::vector<zone_name> const& zones)
{
    auto map = builder.add_service("plaza-map");
    map.add(idempotent_kind{{.m_name = "tile",
                             .m_method = http_method::get,
                             .m_path_prefix = "/tiles/",
                             .m_deadline = milliseconds(500),
                             .m_priority = 3},
                            true})
        .add(idempotent_kind{{.m_name = "page",
                              .m_method = http_method::get,
                              .m_path_prefix = "/",
                              .m_deadline = milliseconds(800),
                              .m_priority = 2},
                             true})
        .set(probe_limits);
    examples::add_targets(map, "plaza-map", 15, 21'000, zones, slots,
                          max_connections);
}

void declare_bookings(configuration_builder& builder,
                      std::vector<zone_name> const& zones)
{
    auto bookings = builder.add_service("bookings");
    bookings
        .add(at_most_once_kind{{.m_name = "claim-square",
                                .m_method = http_method::post,
                                .m_path_prefix = "/squares/claims",
                                .m_deadline = seconds(2),
                                .m_priority = 1}})
        .add(idempotent_kind{{.m_name = "list-squares",
                              .m_method = http_method::get,
                              .m_path_prefix = "/squares",
                              .m_deadline = seconds(1)}})
        .set(probe_limits);
    examples::add_targets(bookings, "bookings", 7, 21'100, zones, slots,
                          max_connections);
}

void declare_payments(configuration_builder& builder,
                      std::vector<zone_name> const& zones)
{
    auto payments = builder.add_service("payments");
    payments
        .add(at_most_once_kind{{.m_name = "pay-kit",
                                .m_method = http_method::post,
                                .m_path_prefix = "/kits/payments",
                                .m_deadline = seconds(5),
                                .m_priority = 0}})
        .add(idempotent_kind{{.m_name = "payment-status",
                              .m_method = http_method::get,
                              .m_path_prefix = "/kits/payments",
                              .m_deadline = seconds(1)}})
        .set(probe_limits);
    examples::add_targets(payments, "payments", 6, 21'200, zones, slots,
                          max_connections);
}

void declare_scoring(configuration_builder& builder,
                     std::vector<zone_name> const& zones)
{
    auto scoring = builder.add_service("scoring");
    // The tally runs many times longer than a vote, so it is limited to one
    // slot in three.
    scoring
        .add(at_most_once_kind{{.m_name = "vote",
                                .m_method = http_method::post,
                                .m_path_prefix = "/votes",
                                .m_deadline = seconds(2),
                                .m_priority = 1}})
        .add(idempotent_kind{{.m_name = "tally",
                              .m_method = http_method::get,
                              .m_path_prefix = "/scores/tally",
                              .m_deadline = seconds(30),
                              .m_priority = 7,
                              .m_max_share = slot_share(0.34)}})
        .add(idempotent_kind{{.m_name = "scores",
                              .m_method = http_method::get,
                              .m_path_prefix = "/scores",
                              .m_deadline = seconds(1)},
                             true})
        .set(probe_limits);
    examples::add_targets(scoring, "scoring", 6, 21'300, zones, slots,
                          max_connections);
}

} // namespace

int main()
{
    configuration_builder builder;
    std::vector<zone_name> const zones{builder.add_zone("centro", "mexico"),
                                       builder.add_zone("norte", "mexico"),
                                       builder.add_zone("sur", "mexico")};
    for (auto const& zone : zones)
    {
        builder.set_extra_cost(zone, milliseconds(2));
    }
    builder.set_one_way_delay(zones[0], zones[1], milliseconds(5))
        .set_one_way_delay(zones[0], zones[2], milliseconds(5))
        .set_one_way_delay(zones[1], zones[2], milliseconds(5))
        .set_max_entry_hosts(19);
    declare_plaza_map(builder, zones);
    declare_bookings(builder, zones);
    declare_payments(builder, zones);
    declare_scoring(builder, zones);
    return examples::print(builder);
}
