#include <LibHttp/AnswerSizes.h>

#include <LibHttp/LinkPacer.h>

#include <algorithm>

namespace radishcross::http {

void AnswerSizes::observed(const Kind &kind, size_t bytes) {
  if (!Kinds.contains(kind) && Kinds.size() >= MaximumKinds)
    return;
  auto &it = Kinds[kind];
  it.Seen = std::min(it.Seen + 1, Memory);
  it.Bytes += (static_cast<int64_t>(bytes) - it.Bytes) / it.Seen;
}

size_t AnswerSizes::expected(const Kind &kind) const {
  const auto it = Kinds.find(kind);
  if (it == Kinds.end())
    return 0;
  const auto out = static_cast<size_t>(std::max<int64_t>(it->second.Bytes, 0));
  return out > LinkPacer::PieceBytes ? out : 0;
}

} // namespace radishcross::http
