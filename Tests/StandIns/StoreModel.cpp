#include "StoreModel.h"

#include <LibHttp/Responses.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>
#include <optional>
#include <vector>

namespace radishcross::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr size_t MaximumItems = 500;
constexpr milliseconds MaximumWait{30000};

std::string textAt(const std::string &target, const std::string &name) {
  for (const char *lead : {"?", "&"}) {
    auto at = target.find(lead + name + "=");
    if (at == std::string::npos)
      continue;
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
  }
  return {};
}

uint64_t numberAt(const std::string &target, const std::string &name,
                  uint64_t fallback) {
  auto text = textAt(target, name);
  return text.empty() ? fallback : std::stoull(text);
}

std::string bigEndian(uint64_t number, int bytes) {
  std::string out;
  for (int it = bytes - 1; it >= 0; --it)
    out += static_cast<char>(number >> (8 * it) & 0xff);
  return out;
}

std::string base64(const std::string &bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                          reinterpret_cast<const unsigned char *>(bytes.data()),
                          static_cast<int>(bytes.size()));
  out.resize(static_cast<size_t>(n));
  return out;
}

/// Splits the body of an append into records; returns nothing if a record is
/// truncated.
std::optional<std::vector<std::string>> splitRecords(std::string_view body) {
  std::vector<std::string> out;
  while (!body.empty()) {
    if (body.size() < 4)
      return std::nullopt;
    size_t length = 0;
    for (int it = 0; it < 4; ++it)
      length = length << 8U | static_cast<unsigned char>(body[it]);
    body.remove_prefix(4);
    if (body.size() < length)
      return std::nullopt;
    out.emplace_back(body.substr(0, length));
    body.remove_prefix(length);
  }
  return out;
}

http::Response errorResponse(unsigned status) {
  return http::makeJsonResponse(status, "{}");
}

} // namespace

asio::awaitable<void> StoreModel::pause(milliseconds time) {
  asio::steady_timer timer(Context, time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> StoreModel::awaitGone(http::IncomingRequest &incoming) {
  asio::steady_timer timer(Context, asio::steady_timer::time_point::max());
  incoming.Watch->OnGone = [&timer] { timer.cancel(); };
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  incoming.Watch->OnGone = nullptr;
}

asio::awaitable<http::Response>
StoreModel::handle(http::IncomingRequest incoming) {
  std::string target(incoming.Message.target());
  if (Silent) {
    co_await awaitGone(incoming);
    throw http::DropConnection();
  }
  if (DelayMs > 0)
    co_await pause(milliseconds(DelayMs));
  if (Outage)
    co_return errorResponse(503);
  if (target.starts_with("/radishcross/log-append?")) {
    auto answer = append(target, incoming.Message.body());
    if (AnswersToLose == 0 || answer.result_int() != 200)
      co_return answer;
    AnswersToLose -= 1;
    throw http::DropConnection();
  }
  if (target.starts_with("/radishcross/log-read?"))
    co_return co_await read(incoming);
  if (target.starts_with("/radishcross/log-newest?"))
    co_return newest(target);
  co_return errorResponse(404);
}

http::Response StoreModel::append(const std::string &target,
                                  std::string_view body) {
  auto topic = textAt(target, "topic");
  auto records = splitRecords(body);
  if (topic.empty() || !records)
    return errorResponse(400);
  Appends += 1;
  uint64_t offset = Topics[topic].end();
  auto at = textAt(target, "at");
  if (!at.empty() && std::stoull(at) != offset)
    return http::makeJsonResponse(
        412, json::serialize(json::object{{"endOffset", offset}}));
  for (auto &it : *records)
    add(topic, std::move(it));
  wake();
  return http::makeJsonResponse(
      200, json::serialize(json::object{{"offset", offset},
                                        {"endOffset", Topics[topic].end()}}));
}

void StoreModel::add(const std::string &topic, std::string content) {
  auto &into = Topics[topic];
  if (topic.starts_with("keyed.") && !content.empty()) {
    size_t length = static_cast<unsigned char>(content[0]);
    auto key = content.substr(1, length);
    auto value = content.substr(std::min(content.size(), 1 + length));
    if (value.empty())
      into.Keys.erase(key);
    else
      into.Keys[key] = {value, into.end()};
  }
  into.Records.push_back(std::move(content));
  while (into.Records.size() > HistoryLimit) {
    into.Records.pop_front();
    ++into.First;
  }
}

void StoreModel::write(const std::string &topic, const std::string &key,
                       const std::string &value) {
  writeContent(topic, bigEndian(key.size(), 1) + key + value);
}

void StoreModel::writeContent(const std::string &topic,
                              const std::string &content) {
  add(topic, content);
  wake();
}

void StoreModel::forgetHistory() {
  for (auto &[name, topic] : Topics) {
    topic.First = topic.end();
    topic.Records.clear();
  }
  wake();
}

void StoreModel::setOutage(bool outage) {
  Outage = outage;
  wake();
}

void StoreModel::setSilent(bool silent) {
  Silences += silent && !Silent ? 1 : 0;
  Silent = silent;
}

void StoreModel::wake() {
  for (auto *it : Waiting)
    it->cancel();
}

asio::awaitable<void> StoreModel::awaitRecord(const std::string &topic,
                                              uint64_t from, milliseconds wait,
                                              http::IncomingRequest &incoming) {
  if (wait.count() == 0 || Topics[topic].end() > from)
    co_return;
  asio::steady_timer timer(Context, std::min(wait, MaximumWait));
  auto it = Waiting.insert(Waiting.end(), &timer);
  incoming.Watch->OnGone = [&timer] { timer.cancel(); };
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  incoming.Watch->OnGone = nullptr;
  Waiting.erase(it);
}

asio::awaitable<http::Response>
StoreModel::read(http::IncomingRequest &incoming) {
  Reads += 1;
  std::string target(incoming.Message.target());
  auto name = textAt(target, "topic");
  uint64_t from = numberAt(target, "from", 0);
  auto silences = Silences;
  co_await awaitRecord(name, from, milliseconds(numberAt(target, "waitMs", 0)),
                       incoming);
  if (Silences != silences) {
    co_await awaitGone(incoming);
    throw http::DropConnection();
  }
  if (Outage)
    co_return errorResponse(503);
  const auto &topic = Topics[name];
  if (from < topic.First)
    co_return http::makeJsonResponse(
        410, json::serialize(json::object{{"firstOffset", topic.First}}));
  http::Response answer = http::makeJsonResponse(200, {});
  auto &body = answer.body();
  body = bigEndian(topic.end(), 8) + bigEndian(topic.First, 8);
  size_t maximumBytes = numberAt(target, "maxKb", 1024) << 10U;
  for (uint64_t at = from; at < topic.end(); ++at) {
    const auto &record = topic.Records[at - topic.First];
    if (at > from && body.size() + record.size() > maximumBytes)
      break;
    body += bigEndian(record.size(), 4) + record;
  }
  answer.prepare_payload();
  co_return answer;
}

http::Response StoreModel::newest(const std::string &target) {
  Reads += 1;
  const auto &topic = Topics[textAt(target, "topic")];
  json::array items;
  auto after = textAt(target, "after");
  auto it = topic.Keys.upper_bound(after);
  for (; it != topic.Keys.end() && items.size() < MaximumItems; ++it)
    items.push_back({{"key", it->first},
                     {"value", base64(it->second.Value)},
                     {"offset", it->second.At}});
  bool hasMore = it != topic.Keys.end();
  return http::makeJsonResponse(
      200, json::serialize(json::object{{"items", std::move(items)},
                                        {"more", hasMore},
                                        {"endOffset", topic.end()}}));
}

} // namespace radishcross::standins
