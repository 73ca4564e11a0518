// Prints the example configuration of Setacci Trinacria, a chain of sieve
// shops: 4 zones and 46 targets with 6 slots each.
#include "print_example.hpp"

namespace
{

using namespace hawthornspur;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int slots = 6;
constexpr int max_connections = 250;

/// A probe and a new connection each cost a target about 1 ms; together they
/// may use 0.5% of its time.
probe_budget const probe_limits{.m_cost_per_second = milliseconds(5),
                                .m_probe_cost = milliseconds(1),
                                .m_connection_cost = milliseconds(1)};

void declare_catalogue(configuration_builder& builder,
                       std::vector<zone_name> const& zones)
{
    auto catalogue = builder.add_service("catalogue");
    // The stock report reads the stock of every shop and takes long. A share of
    // one sixth of the slots keeps it from delaying look-ups, which are made
    // while a client is on the phone.
    catalogue
        .add(idempotent_kind{{.m_name = "look-up",
                              .m_method = http_method::get,
                              .m_path_prefix = "/sieves",
                              .m_deadline = milliseconds(400),
                              .m_priority = 0},
                             true})
        .add(idempotent_kind{{.m_name = "stock-report",
                              .m_method = http_method::get,
                              .m_path_prefix = "/stock/report",
                              .m_deadline = seconds(45),
                              .m_priority = 8,
                              .m_max_share = slot_share(0.17)}})
        .add(idempotent_kind{{.m_name = "stock",
                              .m_method = http_method::get,
                              .m_path_prefix = "/stock",
                              .m_deadline = milliseconds(800),
                              .m_priority = 3}})
        .set_max_answer_bytes(std::size_t{256} << 20U)
        .set(probe_limits);
    examples::add_targets(catalogue, "catalogue", 20, 22'000, zones, slots,
                          max_connections);
}

void declare_ordering(configuration_builder& builder,
                      std::vector<zone_name> const& zones)
{
    auto ordering = builder.add_service("ordering");
    ordering
        .add(at_most_once_kind{{.m_name = "restock-order",
                                .m_method = http_method::post,
                                .m_path_prefix = "/orders",
                                .m_deadline = seconds(3),
                                .m_priority = 1}})
        .add(idempotent_kind{{.m_name = "order-status",
                              .m_method = http_method::get,
                              .m_path_prefix = "/orders",
                              .m_deadline = seconds(1)}})
        .set(probe_limits);
    examples::add_targets(ordering, "ordering", 10, 22'100, zones, slots,
                          max_connections);
}

void declare_warranty(configuration_builder& builder,
                      std::vector<zone_name> const& zones)
{
    auto warranty = builder.add_service("warranty");
    warranty
        .add(at_most_once_kind{{.m_name = "claim",
                                .m_method = http_method::post,
                                .m_path_prefix = "/claims",
                                .m_deadline = seconds(5),
                                .m_priority = 2}})
        .add(idempotent_kind{{.m_name = "claim-status",
                              .m_method = http_method::get,
                              .m_path_prefix = "/claims",
                              .m_deadline = seconds(1)}})
        .set(probe_limits);
    examples::add_targets(warranty, "warranty", 8, 22'200, zones, slots,
                          max_connections);
}

void declare_calibration(configuration_builder& builder,
                         std::vector<zone_name> const& zones)
{
    auto calibration = builder.add_service("calibration");
    calibration
        .add(at_most_once_kind{{.m_name = "book",
                                .m_method = http_method::post,
                                .m_path_prefix = "/bookings",
                                .m_deadline = seconds(3),
                                .m_priority = 2}})
        .add(idempotent_kind{{.m_name = "free-dates",
                              .m_method = http_method::get,
                              .m_path_prefix = "/dates",
                              .m_deadline = seconds(1)},
                             true})
        .set(probe_limits);
    examples::add_targets(calibration, "calibration", 8, 22'300, zones, slots,
                          max_connections);
}

} // namespace

int main()
{
    configuration_builder builder;
    std::vector<zone_name> const zones{builder.add_zone("palermo", "sicily"),
                                       builder.add_zone("catania", "sicily"),
                                       builder.add_zone("messina", "sicily"),
                                       builder.add_zone("siracusa", "sicily")};
    for (auto const& zone : zones)
    {
        builder.set_extra_cost(zone, milliseconds(2));
    }
    builder.set_one_way_delay(zones[0], zones[1], milliseconds(4))
        .set_one_way_delay(zones[0], zones[2], milliseconds(4))
        .set_one_way_delay(zones[0], zones[3], milliseconds(4))
        .set_one_way_delay(zones[1], zones[2], milliseconds(3))
        .set_one_way_delay(zones[1], zones[3], milliseconds(3))
        .set_one_way_delay(zones[2], zones[3], microseconds(3500))
        .set_max_entry_hosts(19);
    declare_catalogue(builder, zones);
    declare_ordering(builder, zones);
    declare_warranty(builder, zones);
    declare_calibration(builder, zones);
    return examples::print(builder);
}
