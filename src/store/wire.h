// The store's JSON gateway: requests to paths and bodies, bodies to replies. 64-bit numbers are strings, keys
// and values base64 (etcd.io/docs/v3.5/dev-guide/api_grpc_gateway). Pure; any thread. What makes no sense is
// told as a problem and never thrown.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/values.h"

namespace yokestream::store {

struct GatewayCall {
  std::string path, body;
  bool writes = false;  // it may change something: a lost reply leaves that unknown
};
bool may_change(const Request& request);
GatewayCall encode(const Request& request);
GatewayCall encode(const WatchRequest& watch);

// `status`: of HTTP. A reply that makes no sense counts as none: unknown where the call writes, else failed.
Reply decode(const Request& request, unsigned status, std::string_view body);
// One line of a watch's stream; nullopt: it makes no sense.
std::optional<WatchResponse> decode_watch_response(std::string_view line);

std::string to_base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);

}  // namespace yokestream::store
