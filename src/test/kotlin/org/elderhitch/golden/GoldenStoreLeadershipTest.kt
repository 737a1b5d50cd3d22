package org.elderhitch.golden

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.elderhitch.golden.GoldenStoreValues.of
import org.elderhitch.golden.GoldenStoreValues.stored
import org.elderhitch.golden.GoldenStoreValues.text
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** The bytes of the term counter and of the leader in the state service. */
class GoldenStoreLeadershipTest {
    @Test
    fun `a claim writes the counter and the leader in the same bytes`() = runTest {
        val node = GoldenStoreNode(this)
        node.counter(stored("term-before"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertEquals(
            listOf("n2", "run-0"),
            listOf(leadership.previousLeader?.node?.text, leadership.previousLeader?.incarnation?.text),
        )
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
        assertEquals(text("leader"), node.state.value(Keys.LEADER)?.text())
    }

    @Test
    fun `a counter of an earlier version names no former leader`() = runTest {
        val node = GoldenStoreNode(this)
        node.counter(stored("term-earlier"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertNull(leadership.previousLeader)
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
    }

    @Test
    fun `an absent or empty counter counts from nothing`() = runTest {
        for (value in listOf(null, of("{\"newer\":1}"))) {
            val node = GoldenStoreNode(this)
            value?.let(node::counter)
            node.claim()
            assertEquals(Term(1), assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value).term)
        }
    }

    @Test
    fun `nobody claims over a counter that is wrong`() = runTest {
        for ((value, message) in mapOf(
            "{\"n\":\"41\"}" to "n: not an integer in range",
            "{\"n\":99999999999999999999}" to "n: not an integer in range",
            "{\"n\":41,\"node\":2}" to "node: not a string",
        )) {
            val node = GoldenStoreNode(this)
            node.counter(of(value))
            node.claim()
            assertIs<LeadershipState.Follower>(node.leadership.leadershipState.value)
            val failure = assertIs<MalformedJson>(node.failures.first())
            assertEquals(message, failure.message)
        }
    }

    private suspend fun TestScope.followed(value: String): LeadershipState {
        val node = GoldenStoreNode(this)
        node.state.down = true
        val seen = of(value)
        node.leadership.tell(LeadershipMessage.LeaderObserved(Entry(Keys.LEADER, seen, Revision(5))))
        delay(1.seconds)
        return node.leadership.leadershipState.value
    }

    @Test
    fun `the leader key is read as it was, and counts as absent if it is wrong`() = runTest {
        val leader = text("leader").replace("n1", "n2")
        assertEquals(LeadershipState.Follower(NodeName("n2"), Term(42)), followed(leader))
        assertEquals(LeadershipState.Follower(NodeName("n2"), Term(42)), followed(leader.replace("}", ",\"newer\":1}")))
        val changed = listOf("42" to "\"42\"", "\"run\"" to "\"go\"", "\"n2\"" to "2")
            .map { leader.replace(it.first, it.second) }
        for (wrong in changed + "{}") {
            assertEquals(LeadershipState.Follower(null, Term.NONE), followed(wrong), wrong)
        }
    }
}
