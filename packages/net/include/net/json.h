#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>

namespace jackdawrack {

/// Parses an object; nothing if `text` is not valid JSON or not an object.
[[nodiscard]] std::optional<boost::json::object> ParseJsonObject(
    const std::string& text);

/// The member's text, or empty if it is missing or of another type.
[[nodiscard]] std::string JsonText(const boost::json::object& object,
                                   const char* name);

/// The member's whole number, or `fallback` if missing or of another type.
[[nodiscard]] std::uint64_t JsonNumber(const boost::json::object& object,
                                       const char* name,
                                       std::uint64_t fallback = 0);

}  // namespace jackdawrack
