// Fuzzes the parsers of configuration documents, heads and histories. Exits
// with status 1 and prints the seed of the case when an accepted document is
// different after printing and parsing.
#include "config/document.hpp"
#include "platform/document_history.hpp"
#include "text_mutation.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first case.");
ABSL_FLAG(std::uint64_t, count, 10'000, "Number of cases.");

namespace
{

using namespace hawthornspur;

constexpr auto tokens =
    std::to_array<std::string_view>({"{",
                                     "}",
                                     "[",
                                     "]",
                                     ":",
                                     ",",
                                     "\"",
                                     "null",
                                     "true",
                                     "-1",
                                     "1e999",
                                     "0.5",
                                     "18446744073709551616",
                                     "\"5ms\"",
                                     "7",
                                     "[]",
                                     "{}",
                                     "false",
                                     "\"draining\"",
                                     "\"9223372036854775807ns\"",
                                     "\"16GiB\"",
                                     "//",
                                     "/*",
                                     "\\u0000",
                                     "\\ud800",
                                     "[[[[[[[["});

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

bool is_unchanged_by_printing(core::configuration const& document)
{
    auto const text = config::print_document(document);
    auto const result = config::parse_document(text);
    auto const* parsed = std::get_if<core::configuration>(&result);
    return parsed != nullptr && config::print_document(*parsed) == text;
}

/// The texts that the cases change.
struct example
{
    std::string m_document;
    config::stored_document m_stored;
    std::string m_history;
};

std::optional<example> read_example(std::string const& name)
{
    example out;
    out.m_document = read_file(HAWTHORNSPUR_EXAMPLES "/" + name + ".json");
    auto const parsed = config::parse_document(out.m_document);
    if (!std::holds_alternative<core::configuration>(parsed))
    {
        std::cerr << name << " is not a valid document\n";
        return std::nullopt;
    }
    out.m_stored =
        config::split_document(std::get<core::configuration>(parsed));
    platform::document_history history;
    history.m_heads.push_back(std::get<config::document_head>(
        config::parse_head(out.m_stored.m_head)));
    out.m_history = platform::print_history(history);
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    // The first example has no customers, the second one has.
    auto const plain = read_example("tiza_viva_festivales");
    auto const with_customers = read_example("ecos_de_feria");
    if (!plain || !with_customers)
    {
        return 1;
    }
    auto const first = absl::GetFlag(FLAGS_seed);
    auto const count = absl::GetFlag(FLAGS_count);
    std::uint64_t accepted = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        std::mt19937_64 random(seed);
        auto const& [document, stored, history_text] =
            seed % 2 == 0 ? *plain : *with_customers;
        auto const result =
            config::parse_document(fuzz::mutate(document, random, tokens));
        if (auto const* valid = std::get_if<core::configuration>(&result))
        {
            ++accepted;
            if (!is_unchanged_by_printing(*valid))
            {
                std::cerr << "an accepted document changed in printing, --seed="
                          << seed << " --count=1\n";
                return 1;
            }
        }
        auto mutated = stored;
        mutated.m_head = fuzz::mutate(stored.m_head, random, tokens);
        auto& part = mutated.m_parts.begin()->second;
        part = fuzz::mutate(part, random, tokens);
        static_cast<void>(config::join_document(mutated));
        static_cast<void>(platform::parse_history(
            fuzz::mutate(history_text, random, tokens)));
    }
    std::cout << count << " cases from seed " << first << ", " << accepted
              << " documents accepted, no fault\n";
    return 0;
}
