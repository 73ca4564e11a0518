// Fuzzes the parser of host settings. Exits with status 1 when settings are
// rejected without a list of faults.
#include "config/settings.hpp"
#include "text_mutation.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first case.");
ABSL_FLAG(std::uint64_t, count, 10'000, "Number of cases.");

namespace
{

using namespace hawthornspur;

constexpr std::string_view settings = R"({
  "name": "entry-1", "zone": "centro",
  "callers": { "address": "127.0.0.1", "port": 8080 },
  "peers": { "address": "::1", "port": 8081 },
  "administration": { "port": 8082 },
  "platform": { "address": "127.0.0.1", "port": 8500 },
  "peer_key_file": "", // a comment
  "log_level": "info", "max_headers": "32KiB", "max_connections": 10000,
  "stop_bound": "60s", "platform_calls_per_second": 5.5, "max_once_keys": 100
})";

constexpr auto tokens = std::to_array<std::string_view>(
    {"{",      "}",    "[",  "]",     ":",   ",",     "\"",
     "null",   "true", "-1", "1e999", "0.5", "65536", "\"1s\"",
     "\"1B\"", "7",    "[]", "{}",    "//",  "/*",    "\\u0000"});

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    auto const first = absl::GetFlag(FLAGS_seed);
    auto const count = absl::GetFlag(FLAGS_count);
    std::uint64_t accepted = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        std::mt19937_64 random(seed);
        auto const result = config::parse_settings(
            fuzz::mutate(std::string(settings), random, tokens));
        auto const* faults = std::get_if<config::fault_list>(&result);
        accepted += faults == nullptr ? 1 : 0;
        if (faults != nullptr && faults->empty())
        {
            std::cerr << "settings rejected without a fault, --seed=" << seed
                      << " --count=1\n";
            return 1;
        }
    }
    std::cout << count << " cases from seed " << first << ", " << accepted
              << " settings accepted, no fault\n";
    return 0;
}
