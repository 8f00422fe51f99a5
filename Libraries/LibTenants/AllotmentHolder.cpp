#include <LibTenants/AllotmentHolder.h>

#include <LibTenants/AllotmentKeeper.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace radishcross::tenants {

namespace {

using namespace std::chrono_literals;

/// Asks without an answer, besides SilenceBound, until a keeper is doubted.
constexpr uint32_t SilentAsks = 5;

/// Bytes of needs in one message, so that it fits into a datagram.
constexpr size_t MaximumNeedBytes = 900;
constexpr size_t NeedBytes = 24; ///< Estimate besides the name.

/// Tokens held of a tenant besides those for its demand, and the part of what
/// it may have unused that all nodes together hold so at most.
constexpr uint32_t SpareTokens = 2;
constexpr double SparePart = 0.6;

/// A stock below one part in this many of what is wanted is filled at once.
constexpr uint32_t LowStockPart = 3;

/// When to come back: at once where a keeper has yet to answer, else later.
constexpr base::Duration UnaskedRetry = 60ms;
constexpr base::Duration ScarceRetry = 200ms;
constexpr base::Duration LongestRetry = 3s;

double seconds(base::Duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

void AllotmentHolder::configure(const std::vector<TenantLimit> &limits) {
  std::map<std::string, Pocket, std::less<>> next;
  for (auto &it : Groups)
    it.HasTenants = false;
  for (const auto &it : limits) {
    auto old = Pockets.find(it.Name);
    auto &pocket = next[it.Name];
    if (old != Pockets.end())
      pocket = std::move(old->second);
    pocket.Limit = it;
    pocket.Group = allotmentGroupOf(it.Name);
    Groups[pocket.Group].HasTenants = true;
  }
  Pockets = std::move(next);
}

void AllotmentHolder::setMembers(const std::vector<AllotmentMember> &members,
                                 base::TimePoint now) {
  if (Members.set(members, now))
    IsChoiceStale = true;
}

/// Returns how many nodes own a share of the group's allotments. 0: this one
/// does not, or its view may be partial.
uint32_t AllotmentHolder::shareOf(const Group &group,
                                  base::TimePoint now) const {
  return group.IsOwner && Members.hasJoined(now) ? Members.owners() : 0;
}

void AllotmentHolder::decay(Pocket &pocket, base::TimePoint now) const {
  pocket.Demand *=
      std::exp(-seconds(now - pocket.Decayed) / seconds(Settings.StockTime));
  pocket.Decayed = now;
}

bool AllotmentHolder::isWarm(const Pocket &pocket, base::TimePoint now) const {
  return pocket.LastTake != base::TimePoint{} &&
         now - pocket.LastTake <= Settings.WarmTime;
}

uint32_t AllotmentHolder::targetOf(Pocket &pocket, base::TimePoint now) const {
  if (!isWarm(pocket, now))
    return 0;
  decay(pocket, now);
  // Demand never decays to nothing, and a token kept for it is one that no
  // other node can have.
  const auto needed = static_cast<uint32_t>(std::lround(pocket.Demand));
  const auto ahead = static_cast<uint32_t>(
      std::ceil(Settings.StockFactor * pocket.Demand) + SpareTokens);
  return std::max(needed, std::min(ahead, spareOf(pocket)));
}

/// Returns the tokens that each node that asks may hold ahead. A small tenant
/// that asks at many nodes has none for each: its requests wait for an ask.
uint32_t AllotmentHolder::spareOf(const Pocket &pocket) const {
  const auto nodes =
      pocket.Askers > 0 ? pocket.Askers : std::max(Members.alive(), 1U);
  const auto each =
      SparePart * unusedBound(pocket.Limit, Settings) / double(nodes);
  return static_cast<uint32_t>(each);
}

bool AllotmentHolder::useToken(Pocket &pocket, base::TimePoint now) {
  if (now >= pocket.Until)
    pocket.Stock = 0;
  if (pocket.Stock == 0)
    return false;
  --pocket.Stock;
  ++pocket.Used;
  pocket.IsReported = false;
  return true;
}

AllotmentVerdict AllotmentHolder::retake(std::string_view tenant,
                                         base::TimePoint now) {
  auto found = Pockets.find(tenant);
  if (found == Pockets.end())
    return {};
  auto &it = found->second;
  if (!useToken(it, now)) {
    const bool isScarce = now < it.ScarceUntil;
    // Meanwhile others may have used what was granted.
    if (!isScarce)
      Groups[it.Group].IsUrgent = true;
    it.IsAwaited = it.IsAwaited || !isScarce;
    return {false, isScarce ? ScarceRetry : UnaskedRetry, !isScarce};
  }
  ++Counts.Granted;
  ++it.TotalGranted;
  uncountRefusal(it);
  return {};
}

/// The refusal may have been counted before the limits were set anew.
void AllotmentHolder::uncountRefusal(Pocket &pocket) {
  Counts.Refused -= Counts.Refused > 0 ? 1 : 0;
  pocket.TotalRefused -= pocket.TotalRefused > 0 ? 1 : 0;
  pocket.Refused -= pocket.Refused > 0 ? 1 : 0;
}

void AllotmentHolder::leave(std::string_view tenant) {
  auto it = Pockets.find(tenant);
  if (it != Pockets.end())
    uncountRefusal(it->second);
}

AllotmentVerdict AllotmentHolder::take(std::string_view tenant,
                                       base::TimePoint now) {
  auto found = Pockets.find(tenant);
  if (found == Pockets.end())
    return {};
  auto &it = found->second;
  auto &group = Groups[it.Group];
  decay(it, now);
  if (!isWarm(it, now)) {
    // All nodes may be the first at once.
    it.Askers = 0;
    it.Demand = std::min<double>(spareOf(it), Settings.FirstDemandShare *
                                                  it.Limit.RatePerSecond *
                                                  seconds(Settings.StockTime));
  }
  it.Demand += 1;
  it.LastTake = now;
  const bool isGranted = useToken(it, now);
  if (it.Stock * LowStockPart < targetOf(it, now) && now >= it.AskAgainAt)
    group.IsUrgent = true;
  if (isGranted) {
    ++Counts.Granted;
    ++it.TotalGranted;
    return {};
  }
  ++Counts.Refused;
  ++it.TotalRefused;
  ++it.Refused;
  const bool isScarce = now < it.ScarceUntil;
  it.IsAwaited = it.IsAwaited || !isScarce;
  // Those refused come back one after the other, at the rate of the tenant.
  auto spread =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          it.Refused / double(it.Limit.RatePerSecond)));
  return {
      false,
      std::min(LongestRetry, (isScarce ? ScarceRetry : UnaskedRetry) + spread),
      !isScarce};
}

void AllotmentHolder::giveBack(std::string_view tenant) {
  auto it = Pockets.find(tenant);
  // A token of an earlier keeper is counted as used there.
  if (it == Pockets.end() || it->second.Used == 0)
    return;
  --it->second.Used;
  it->second.IsReported = false;
}

/// Chooses the members to ask anew where something has changed.
void AllotmentHolder::chooseKeepers(base::TimePoint now) {
  if (std::erase_if(DoubtedUntil,
                    [&](const auto &it) { return now >= it.second; }) > 0)
    IsChoiceStale = true;
  if (Members.forgetLost(now))
    IsChoiceStale = true;
  if (!std::exchange(IsChoiceStale, false))
    return;
  auto chosen = Members.chooseKeepers(DoubtedUntil);
  for (uint32_t group = 0; group < AllotmentGroups; ++group) {
    Groups[group].IsOwner = Members.isOwner(group);
    Groups[group].Chosen = std::move(chosen[group]);
  }
}

void AllotmentHolder::attach(uint32_t group) {
  auto &it = Groups[group];
  Group next;
  next.HasTenants = it.HasTenants;
  next.IsOwner = it.IsOwner;
  next.Chosen = it.Chosen;
  next.Keeper = it.Chosen;
  next.Session = ++NextSession;
  next.IsUrgent = true;
  it = std::move(next);
  ++Counts.KeeperChanges;
  // The earlier keeper counts what it granted as used; the new one knows
  // nothing of it.
  for (auto &[name, pocket] : Pockets) {
    if (pocket.Group != group)
      continue;
    pocket.Stock = 0;
    pocket.Used = 0;
    pocket.AskedSequence = 0;
    pocket.IsReported = true;
  }
}

void AllotmentHolder::followKeeper(uint32_t group, base::TimePoint now) {
  auto &it = Groups[group];
  if (it.Unanswered >= SilentAsks &&
      now - it.SilentSince > Settings.SilenceBound &&
      DoubtedUntil.emplace(it.Keeper, now + Settings.DoubtTime).second)
    IsChoiceStale = true;
  chooseKeepers(now);
  it.IsLeaving = it.Chosen.empty() || it.Chosen != it.Keeper;
  if (it.IsLeaving && !it.Chosen.empty() && now > it.LentUntil)
    attach(group);
}

base::Duration AllotmentHolder::askTimeout(const Group &group) const {
  auto out = Settings.AskTimeout;
  for (uint32_t n = 1; n < group.Unanswered && out < Settings.LongestAskTimeout;
       ++n)
    out *= 2;
  return std::min(out, Settings.LongestAskTimeout);
}

/// A flood at all nodes is no reason for all of them to ask without pause.
base::Duration AllotmentHolder::scarceSpacing(const Pocket &pocket) const {
  return std::max(Settings.ScarceSpacing,
                  Settings.ScarceSpacingEach * pocket.Askers);
}

bool AllotmentHolder::isAskDue(const Group &group, base::TimePoint now) const {
  auto since = now - group.LastAsk;
  if (group.IsPending)
    return since >= askTimeout(group);
  const bool isTakingBack =
      group.IsLeaving && !group.Chosen.empty() && now <= group.LentUntil;
  if (group.IsUrgent || isTakingBack)
    return since >= Settings.AskSpacing;
  return since >= (group.IsOwner ? Settings.Renewal : Settings.HolderRenewal);
}

void AllotmentHolder::ask(uint32_t group, base::TimePoint now,
                          std::vector<AllotmentSend> &sends) {
  auto &it = Groups[group];
  AllotmentMessage message;
  message.Group = group;
  message.Session = it.Session;
  if (!it.IsLeaving && it.Stamp != 0)
    message.ShareOf = shareOf(it, now);
  message.Stamp = it.Stamp;
  if (message.ShareOf != 0)
    it.LentUntil = it.Stamped + Settings.Lease;
  const bool isLending = message.ShareOf != 0;
  size_t bytes = 0;
  const auto sent = sends.size();
  const auto flush = [&] {
    message.Sequence = ++it.Sequence;
    if (isLending)
      it.LastLent = it.Sequence;
    sends.push_back({it.Keeper, message});
    ++Counts.Asks;
    message.Needs.clear();
    bytes = 0;
  };
  for (auto &[name, pocket] : Pockets) {
    if (pocket.Group != group)
      continue;
    if (now >= pocket.Until)
      pocket.Stock = 0;
    auto target = targetOf(pocket, now);
    if (target == 0 && pocket.Stock == 0 && pocket.IsReported)
      continue;
    // Idle tokens go back.
    pocket.Stock = std::min(pocket.Stock, target * 2);
    if (bytes + name.size() + NeedBytes > MaximumNeedBytes)
      flush();
    bytes += name.size() + NeedBytes;
    pocket.Wanted = target > pocket.Stock ? target - pocket.Stock : 0;
    pocket.AskedSequence = it.Sequence + 1;
    pocket.UsedAtAsk = pocket.Used;
    pocket.IsReported = false;
    message.Needs.push_back({name, pocket.Used, pocket.Stock, pocket.Wanted});
  }
  it.IsUrgent = false;
  // A node that neither lends nor needs anything is silent.
  if (message.Needs.empty() && sends.size() == sent &&
      (!it.IsOwner || !Members.hasJoined(now)))
    return;
  flush();
  if (it.Unanswered++ == 0)
    it.SilentSince = now;
  it.LastAsk = now;
  it.IsPending = true;
}

std::vector<AllotmentSend> AllotmentHolder::poll(base::TimePoint now) {
  std::vector<AllotmentSend> sends;
  for (uint32_t group = 0; group < AllotmentGroups; ++group) {
    auto &it = Groups[group];
    if (!it.HasTenants)
      continue;
    followKeeper(group, now);
    if (!it.Keeper.empty() && isAskDue(it, now))
      ask(group, now, sends);
  }
  return sends;
}

void AllotmentHolder::handle(std::string_view from,
                             const AllotmentMessage &answer,
                             base::TimePoint now) {
  if (!answer.IsAnswer || answer.Group >= AllotmentGroups)
    return;
  auto &it = Groups[answer.Group];
  if (from != it.Keeper || answer.Session != it.Session ||
      answer.Sequence == 0 || answer.Sequence > it.Sequence)
    return;
  // What an ask lent on a stamp as old as that has lapsed, or soon will.
  if (it.Stamp == 0 || now - it.Stamped > Settings.Lease / 2)
    it.IsUrgent = true;
  it.Stamp = std::max(it.Stamp, answer.Stamp);
  it.Stamped = now;
  it.Unanswered = 0;
  // An ask that lends nothing takes back what earlier ones lent.
  if (answer.Sequence > it.LastLent)
    it.LentUntil = {};
  if (answer.Sequence == it.Sequence)
    it.IsPending = false;
  for (const auto &grant : answer.Grants) {
    auto found = Pockets.find(grant.Tenant);
    if (found == Pockets.end() ||
        found->second.AskedSequence != answer.Sequence)
      continue;
    auto &pocket = found->second;
    uint64_t held = uint64_t{grant.Kept} + grant.Granted;
    uint64_t since =
        pocket.Used > pocket.UsedAtAsk ? pocket.Used - pocket.UsedAtAsk : 0;
    pocket.Stock = static_cast<uint32_t>(held > since ? held - since : 0);
    // Of the ask: the keeper counts from the answer, which is later.
    pocket.Until = it.LastAsk + Settings.Lease;
    const bool isScarce = grant.Granted < pocket.Wanted;
    pocket.Askers = answer.ShareOf;
    const auto spacing = scarceSpacing(pocket);
    pocket.ScarceUntil =
        isScarce ? now + std::max(ScarceRetry, spacing) : base::TimePoint{};
    pocket.AskAgainAt = isScarce ? now + spacing : base::TimePoint{};
    if (std::exchange(pocket.IsAwaited, false))
      Answered.push_back(grant.Tenant);
    pocket.Refused = 0;
    pocket.IsReported = pocket.Used == pocket.UsedAtAsk;
    pocket.AskedSequence = 0;
  }
}

std::vector<AllotmentReport>
AllotmentHolder::report(base::TimePoint now) const {
  std::vector<AllotmentReport> out;
  for (const auto &[name, it] : Pockets)
    out.push_back({it.Limit, it.TotalGranted, it.TotalRefused,
                   now < it.Until ? it.Stock : 0, Groups[it.Group].Keeper});
  return out;
}

bool AllotmentHolder::isUrgent() const {
  for (const auto &it : Groups)
    if (it.IsUrgent && !it.IsPending)
      return true;
  return false;
}

} // namespace radishcross::tenants
