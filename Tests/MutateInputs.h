#pragma once

#include <Mutator.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <doctest/doctest.h>
#include <string>

namespace radishcross::test {

/// Checks that a decoder accepted some mutated inputs and rejected others: a
/// mutator that breaks every input, or none, would test nothing.
inline void checkAcceptedCount(int accepted) {
  CHECK(accepted > MutatedInputs / 1000);
  CHECK(accepted < MutatedInputs);
}

/// Calls \p decoder, which returns whether it accepted its input, with \p valid
/// and then with MutatedInputs texts mutated from it.
template <typename Decoder>
void mutateBytes(uint64_t seed, const std::string &valid,
                 const Decoder &decoder) {
  Mutator mutator(seed);
  REQUIRE(decoder(valid));
  int accepted = 0;
  for (int i = 0; i < MutatedInputs; ++i)
    accepted += decoder(mutator.bytes(valid)) ? 1 : 0;
  checkAcceptedCount(accepted);
}

/// The same for JSON documents with mutated values.
template <typename Decoder>
void mutateValues(uint64_t seed, const boost::json::value &valid,
                  const Decoder &decoder) {
  Mutator mutator(seed);
  REQUIRE(decoder(valid));
  int accepted = 0;
  for (int i = 0; i < MutatedInputs; ++i) {
    auto document = valid;
    mutator.value(document);
    accepted += decoder(document) ? 1 : 0;
  }
  checkAcceptedCount(accepted);
}

} // namespace radishcross::test
