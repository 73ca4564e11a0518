#ifndef HAWTHORNSPUR_CORE_MODELS_MODEL_STEP_HPP
#define HAWTHORNSPUR_CORE_MODELS_MODEL_STEP_HPP

#include <cstddef>
#include <cstdint>
#include <numeric>

namespace hawthornspur::core::models
{

/// Creates a step of a model from three random numbers. The kinds occur in
/// proportion to `Step::weights`.
template <class Step>
Step make_step(std::uint32_t kind, std::uint32_t first_argument,
               std::uint32_t second_argument)
{
    using kind_type = decltype(Step::m_kind);
    auto const& weights = Step::weights;
    static_assert(weights.size() == static_cast<std::size_t>(kind_type::count));
    auto remainder = kind % std::accumulate(weights.begin(), weights.end(),
                                            std::uint32_t{0});
    std::uint32_t index = 0;
    while (remainder >= weights[index])
    {
        remainder -= weights[index];
        ++index;
    }
    return {static_cast<kind_type>(index), first_argument, second_argument};
}

} // namespace hawthornspur::core::models

#endif
