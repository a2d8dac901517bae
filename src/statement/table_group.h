// Finds the table group that a statement reads or writes, from the name of its schema.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace yokestream::statement {

// Returns the number after the last underscore of the schema name: 17 for `sales_17.orders`. Strings, quoted
// names and comments are ignored, and so is a schema without such a number, like `staging`. A schema that
// follows FROM, JOIN, INTO, UPDATE or TABLE takes precedence over one that stands elsewhere, which may be an
// alias. Returns nullopt if the statement names no table group.
std::optional<std::uint64_t> table_group(std::string_view sql);

}  // namespace yokestream::statement
