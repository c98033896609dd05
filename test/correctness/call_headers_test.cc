// Tests of ClassifyAnswer. They guard against a response of something other than the target that is
// accepted as the target's success, and against reporting "not run" when the target did not say so.
#include "call_headers.h"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace endivecleat;  // NOLINT(google-build-using-namespace)

namespace {

CallHeaders Names() {
  CallHeaders names;
  names.target = "x-target";
  names.not_run = "x-not-run";
  names.answer_mark = "x-mark";
  return names;
}

HttpResponse Response(int status, HeaderList headers = {}) {
  return {status, std::move(headers), ""};
}

}  // namespace

TEST_GROUP(AnswerClassification){};

TEST(AnswerClassification, MarkedAnswerOrUnmarkedErrorIsAccepted) {
  CHECK(ClassifyAnswer(Names(), Response(200, {{"X-Mark", "1"}})) == AnswerKind::kAnswer);
  CHECK(ClassifyAnswer(Names(), Response(503, {{"X-Mark", "1"}})) == AnswerKind::kAnswer);
  CHECK(ClassifyAnswer(Names(), Response(500)) == AnswerKind::kAnswer);
}

TEST(AnswerClassification, NotRunHeaderOrMisdirectedStatusMeansNotRun) {
  CHECK(ClassifyAnswer(Names(), Response(503, {{"X-Not-Run", "1"}})) == AnswerKind::kNotRun);
  CHECK(ClassifyAnswer(Names(), Response(421)) == AnswerKind::kNotRun);
}

TEST(AnswerClassification, SuccessWithoutMarkOrWithContentEncodingIsInvalid) {
  CHECK(ClassifyAnswer(Names(), Response(200)) == AnswerKind::kInvalid);
  CHECK(ClassifyAnswer(Names(), Response(200, {{"X-Mark", "1"}, {"Content-Encoding", "gzip"}})) ==
        AnswerKind::kInvalid);
}

TEST(AnswerClassification, UnmarkedOverloadStatusIsInvalid) {
  CHECK(ClassifyAnswer(Names(), Response(503)) == AnswerKind::kInvalid);
  CHECK(ClassifyAnswer(Names(), Response(429)) == AnswerKind::kInvalid);
}

TEST(AnswerClassification, EveryAnswerIsAcceptedWhenNoMarkIsConfigured) {
  CHECK(ClassifyAnswer(CallHeaders{}, Response(200)) == AnswerKind::kAnswer);
  CHECK(ClassifyAnswer(CallHeaders{}, Response(503)) == AnswerKind::kAnswer);
}
