#include <LibTenants/AllotmentKeeper.h>

#include <LibBase/Hash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishcross::tenants {

namespace {

double seconds(base::Duration it) {
  return std::chrono::duration<double>(it).count();
}

/// Nodes that have asked for nothing in this many leases are forgotten.
constexpr int LenderMemoryLeases = 10;

/// How often lapsed shares are looked for; they lapse earlier by as much.
constexpr base::Duration ExpiryPeriod = std::chrono::milliseconds(10);

} // namespace

uint32_t allotmentGroupOf(std::string_view tenant) {
  return static_cast<uint32_t>(base::hash64(tenant) % AllotmentGroups);
}

void AllotmentKeeper::configure(const std::vector<TenantLimit> &limits,
                                base::TimePoint now) {
  std::map<std::string, Account, std::less<>> next;
  for (const auto &it : limits) {
    auto old = Accounts.find(it.Name);
    auto &account = next[it.Name];
    if (old != Accounts.end()) {
      accrue(old->second, Groups[allotmentGroupOf(it.Name)].Share, now);
      account = std::move(old->second);
    }
    account.Limit = it;
    account.Accrued = now;
    accrue(account, Groups[allotmentGroupOf(it.Name)].Share, now);
  }
  Accounts = std::move(next);
}

void AllotmentKeeper::accrue(Account &account, double share,
                             base::TimePoint now) const {
  double rate = std::min<double>(account.Limit.RatePerSecond,
                                 share * accrualRate(account.Limit, Settings));
  double bound = std::min(1.0, share) * unusedBound(account.Limit, Settings);
  account.Unused += rate * seconds(now - account.Accrued);
  account.Accrued = now;
  // Tokens held by nodes can't be taken back; they lapse.
  account.Unused = std::min(account.Unused,
                            std::max(bound, static_cast<double>(account.Held)));
}

void AllotmentKeeper::setShare(uint32_t group, base::TimePoint now) {
  auto &it = Groups[group];
  double sum = 0;
  for (const auto &[id, lender] : it.Lenders)
    sum += lender.Share;
  if (sum == it.Share)
    return;
  for (auto &[name, account] : Accounts) {
    if (allotmentGroupOf(name) != group)
      continue;
    accrue(account, it.Share, now);
    accrue(account, sum, now); // A smaller share holds less.
  }
  it.Share = sum;
}

/// Returns how many nodes have asked for tokens of a tenant within a lease.
uint32_t AllotmentKeeper::askersOf(const Account &account,
                                   base::TimePoint now) {
  return static_cast<uint32_t>(
      std::count_if(account.Holdings.begin(), account.Holdings.end(),
                    [now](const auto &it) { return now < it.second.Until; }));
}

void AllotmentKeeper::expire(base::TimePoint now) {
  if (now < NextExpiry)
    return;
  NextExpiry = now + ExpiryPeriod;
  for (auto &[name, account] : Accounts) {
    for (auto &[id, it] : account.Holdings) {
      if (it.Held == 0 || now <= it.Until)
        continue;
      // Nobody says whether these were used.
      account.Unused -= it.Held;
      account.Held -= it.Held;
      it.Assumed += std::exchange(it.Held, 0);
    }
  }
  for (uint32_t group = 0; group < AllotmentGroups; ++group) {
    auto &lenders = Groups[group].Lenders;
    for (auto it = lenders.begin(); it != lenders.end();) {
      if (now > it->second.Until)
        it->second.Share = 0;
      bool isGone =
          now - it->second.LastAsk > Settings.Lease * LenderMemoryLeases;
      if (isGone)
        for (auto &[name, account] : Accounts)
          if (allotmentGroupOf(name) == group)
            account.Holdings.erase(it->first);
      it = isGone ? lenders.erase(it) : std::next(it);
    }
    setShare(group, now);
  }
}

bool AllotmentKeeper::accept(Lender &lender, const AllotmentMessage &ask,
                             base::TimePoint now) {
  if (ask.Session < lender.Session ||
      (ask.Session == lender.Session && ask.Sequence <= lender.Sequence))
    return false;
  lender.Session = ask.Session;
  lender.Sequence = ask.Sequence;
  lender.LastAsk = now;
  // A stamp of the future is of an earlier boot of this machine.
  auto stamped =
      base::TimePoint(base::Duration(static_cast<int64_t>(ask.Stamp)));
  bool isLent = ask.ShareOf != 0 && ask.Stamp != 0 && stamped <= now &&
                now - stamped < Settings.Lease - ExpiryPeriod;
  lender.Share = isLent ? 1.0 / ask.ShareOf : 0;
  lender.Until = isLent ? stamped + Settings.Lease - ExpiryPeriod : now;
  return true;
}

/// Books what the node reports to have used and to hold; returns the tokens
/// that it may keep.
uint32_t AllotmentKeeper::settle(Account &account, std::string_view from,
                                 uint64_t session, const AllotmentNeed &need) {
  auto &it = account.Holdings[std::string(from)];
  if (it.Session != session) {
    // Holdings of an earlier session may have been used.
    account.Unused -= it.Held;
    account.Held -= it.Held;
    it = {};
    it.Session = session;
  }
  auto used = static_cast<double>(need.Used) - static_cast<double>(it.Used);
  it.Used = need.Used;
  auto assumed = std::clamp<double>(used, 0, static_cast<double>(it.Assumed));
  it.Assumed = 0;
  account.Unused -= used - assumed;
  // A node holds no more than it was granted, whatever it says.
  auto held = std::min(need.Stock, it.Held);
  account.Held -= it.Held - held;
  it.Held = held;
  return held;
}

uint32_t AllotmentKeeper::grant(Account &account, std::string_view from,
                                uint32_t want, base::TimePoint now) {
  auto &it = account.Holdings[std::string(from)];
  double left = account.Unused - static_cast<double>(account.Held);
  auto count = std::min<uint32_t>(
      want, left < 1 ? 0 : static_cast<uint32_t>(std::min(left, 1e9)));
  it.Held += count;
  account.Held += count;
  it.Until = now + Settings.Lease;
  return count;
}

AllotmentMessage AllotmentKeeper::handle(std::string_view from,
                                         const AllotmentMessage &ask,
                                         base::TimePoint now) {
  AllotmentMessage answer;
  answer.IsAnswer = true;
  // Without a configuration a node can't tell what is allotted; another will be
  // asked.
  if (ask.IsAnswer || ask.Group >= AllotmentGroups || Accounts.empty())
    return answer;
  answer.Group = ask.Group;
  expire(now);
  auto &lender = Groups[ask.Group].Lenders[std::string(from)];
  const auto lent = lender.Share;
  if (!accept(lender, ask, now))
    return answer;
  if (lender.Share != lent)
    setShare(ask.Group, now);
  answer.Session = ask.Session;
  answer.Sequence = ask.Sequence;
  answer.Stamp = static_cast<uint64_t>(now.time_since_epoch().count());
  for (const auto &need : ask.Needs) {
    auto it = Accounts.find(need.Tenant);
    if (it == Accounts.end() || allotmentGroupOf(need.Tenant) != ask.Group)
      continue;
    accrue(it->second, Groups[ask.Group].Share, now);
    auto kept = settle(it->second, from, ask.Session, need);
    auto granted = grant(it->second, from, need.Want, now);
    answer.Grants.push_back({need.Tenant, kept, granted});
    answer.ShareOf = std::max(answer.ShareOf, askersOf(it->second, now));
  }
  return answer;
}

} // namespace radishcross::tenants
