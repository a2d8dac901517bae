// JSON text in and out, as records and files of ours need it: compact out; in, bounded in bytes and depth.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace yokestream::base {

std::string write_json(const Json::Value& value);
// nullopt: no JSON, more than `most` bytes, or nested deeper than `deepest`.
std::optional<Json::Value> read_json(std::string_view text, std::size_t most, int deepest = 16);

}  // namespace yokestream::base
