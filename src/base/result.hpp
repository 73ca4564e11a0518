#ifndef HAWTHORNSPUR_BASE_RESULT_HPP
#define HAWTHORNSPUR_BASE_RESULT_HPP

#include <hawthornspur/result_code.hpp>

#include <string>
#include <utility>
#include <variant>

namespace hawthornspur
{

/// A failure: its code and a message for operators.
struct error
{
    result_code m_code = result_code::system_failure;
    std::string m_message;
};

/// Either a value or an error. Returned by functions that can fail: exceptions
/// do not cross module boundaries in this project.
template <class T>
using result = std::variant<T, error>;

/// The result of an operation that returns no value.
using status = result<std::monostate>;

inline status success()
{
    return std::monostate{};
}

inline error make_error(result_code code, std::string message)
{
    return error{code, std::move(message)};
}

template <class T>
bool has_value(result<T> const& r) noexcept
{
    return r.index() == 0;
}

/// Returns the value. Precondition: has_value(r).
template <class T>
T& value(result<T>& r)
{
    return std::get<0>(r);
}

template <class T>
T const& value(result<T> const& r)
{
    return std::get<0>(r);
}

/// Moves the value out. Precondition: has_value(r).
template <class T>
T take(result<T>&& r)
{
    return std::get<0>(std::move(r));
}

/// Returns the error. Precondition: !has_value(r).
template <class T>
error const& failure(result<T> const& r)
{
    return std::get<1>(r);
}

} // namespace hawthornspur

#endif
