#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace radishcross::balance {

/// When second attempts may start beside slow first ones.
struct HedgeSettings {
  static constexpr int64_t DefaultQuantilePermille = 950;

  /// Extra attempts per 1000 first ones of a service, over all nodes together;
  /// 0: none.
  int64_t SharePermille = 0;
  /// The part of a route's answers that must have come by then.
  int64_t QuantilePermille = DefaultQuantilePermille;
  /// By service, in place of SharePermille.
  std::map<std::string, int64_t, std::less<>> ServiceSharePermille = {};

  int64_t sharePermille(std::string_view service) const {
    const auto it = ServiceSharePermille.find(service);
    return it == ServiceSharePermille.end() ? SharePermille : it->second;
  }

  bool operator==(const HedgeSettings &) const = default;
};

} // namespace radishcross::balance
