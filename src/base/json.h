// JSON for stored records and files: compact when written, limited in size and depth when read.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace yokestream::base {

std::string write_json(const Json::Value& value);
// Returns nullopt if `text` is not JSON, is longer than `max_bytes` or is nested deeper than `max_depth`.
std::optional<Json::Value> read_json(std::string_view text, std::size_t max_bytes, int max_depth = 16);

}  // namespace yokestream::base
