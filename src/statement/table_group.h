// Which group of tables a statement reads or writes, by the name of its schema.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace yokestream::statement {

// The number after the last underscore of the schema's name: 17 in `sales_17.orders`. Names in strings,
// quoted text and comments do not count, nor does the schema `staging`. A name that follows FROM, JOIN, INTO,
// UPDATE or TABLE comes before any other, which may be an alias. nullopt: the statement names no group.
std::optional<std::uint64_t> table_group(std::string_view sql);

}  // namespace yokestream::statement
