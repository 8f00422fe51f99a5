#pragma once

#include <LibTenants/AllotmentMessage.h>
#include <LibTenants/AllotmentSettings.h>

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::tenants {

/// Grants tokens out of the shares that nodes have lent to this node. Every
/// node may be asked; it grants no more than what it was lent.
class AllotmentKeeper {
public:
  explicit AllotmentKeeper(AllotmentSettings settings) : Settings(settings) {}

  /// Replaces the allotments. Unused tokens beyond a lower one are dropped.
  void configure(const std::vector<TenantLimit> &limits, base::TimePoint now);

  /// Answers an ask of node \p from. An ask that is older than the last one,
  /// or comes before the first limits, is not answered: sequence 0.
  AllotmentMessage handle(std::string_view from, const AllotmentMessage &ask,
                          base::TimePoint now);

  /// Forgets lapsed shares and holdings.
  void expire(base::TimePoint now);

  /// Returns the sum of the shares lent for \p group, 0 to about 1.
  double share(uint32_t group) const { return Groups[group].Share; }

private:
  struct Holding {
    uint64_t Session = 0;
    uint64_t Used = 0;    ///< As reported.
    uint64_t Assumed = 0; ///< Counted as used when they lapsed.
    uint32_t Held = 0;    ///< Tokens that the node may still use.
    base::TimePoint Until{};
  };
  struct Account {
    TenantLimit Limit;
    double Unused = 0; ///< Tokens not used, those held by nodes included.
    uint64_t Held = 0; ///< Sum of Holdings.
    base::TimePoint Accrued{};
    std::map<std::string, Holding, std::less<>> Holdings;
  };
  struct Lender {
    uint64_t Session = 0;
    uint64_t Sequence = 0;
    double Share = 0;
    base::TimePoint Until{};
    base::TimePoint LastAsk{};
  };
  struct Group {
    double Share = 0;
    std::map<std::string, Lender, std::less<>> Lenders;
  };

  /// Returns whether the ask is newer than the lender's last.
  bool accept(Lender &lender, const AllotmentMessage &ask, base::TimePoint now);
  void setShare(uint32_t group, base::TimePoint now);
  static uint32_t askersOf(const Account &account, base::TimePoint now);
  void accrue(Account &account, double share, base::TimePoint now) const;
  static uint32_t settle(Account &account, std::string_view from,
                         uint64_t session, const AllotmentNeed &need);
  uint32_t grant(Account &account, std::string_view from, uint32_t want,
                 base::TimePoint now);

  AllotmentSettings Settings;
  base::TimePoint NextExpiry{};
  std::array<Group, AllotmentGroups> Groups;
  std::map<std::string, Account, std::less<>> Accounts;
};

/// Returns the group of a tenant.
uint32_t allotmentGroupOf(std::string_view tenant);

} // namespace radishcross::tenants
