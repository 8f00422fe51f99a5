#pragma once

#include <Mutator.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <doctest/doctest.h>
#include <string>

namespace radishcross::test {

/// Checks that a decoder took some altered inputs and refused others: a mutator
/// that breaks all or nothing would test nothing.
inline void checkTaken(int taken) {
  CHECK(taken > MutatedInputs / 1000);
  CHECK(taken < MutatedInputs);
}

/// Gives \p attempt, which returns whether it took its input, \p sound and then
/// MutatedInputs texts that were altered from it.
template <typename Try>
void mutateBytes(uint64_t seed, const std::string &sound, const Try &attempt) {
  Mutator mutator(seed);
  REQUIRE(attempt(sound));
  int taken = 0;
  for (int i = 0; i < MutatedInputs; ++i)
    taken += attempt(mutator.bytes(sound)) ? 1 : 0;
  checkTaken(taken);
}

/// The same for documents of which values were altered.
template <typename Try>
void mutateValues(uint64_t seed, const boost::json::value &sound,
                  const Try &attempt) {
  Mutator mutator(seed);
  REQUIRE(attempt(sound));
  int taken = 0;
  for (int i = 0; i < MutatedInputs; ++i) {
    auto document = sound;
    mutator.value(document);
    taken += attempt(document) ? 1 : 0;
  }
  checkTaken(taken);
}

} // namespace radishcross::test
