package org.elderhitch.lab

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The kinds of trouble a storm is made of, by the words of its schedule files. */
internal enum class Kind(val word: String) {
    /** A share of the machines stands still. */
    HANG("machines_hang"),
    DIE("machines_die"),

    /** Machines rented meanwhile boot as many times slower. */
    SLOW_BOOT("slow_boot"),

    /** A share of the spot machines goes at once. */
    SPOT("spot_taken"),
    ZONE("zone_cut"),
    CRASH("node_crash"),
    CRASH_ALL("all_crash"),
    ROLL("roll"),
    FREEZE("node_freeze"),

    /** A node loses all hosts, or only those that [Trouble.from] names. */
    CUT("node_cut"),
    REFUSED("state_refuses"),
    OUTAGE("state_outage"),
    CLOUD("cloud_outage"),
    LATE_COMMITS("late_commits"),
    LATE_REPORTS("late_reports"),
    LATE_COMMANDS("late_commands"),
    PEERS("peers_refuse"),
    BURST("burst"),

    /** A share of the machines hears nothing, and is heard. */
    DEAF("machines_deaf"),

    /** Of a share of the reports a copy arrives again, up to well over a lease later. */
    COPIES("report_copies"),

    /** A share of the state service's answers takes seconds. */
    SLOW_STATE("state_slow"),

    /** Users withdraw a share of the open jobs at once, each through any node. */
    WITHDRAWALS("withdrawals"),

    /** A share of the machines reaches no controller, while commands and questions reach them. */
    MUTE("machines_mute"),

    /** A share of the transactions is carried out at once, and only the answer is lost. */
    LOST_ANSWERS("answers_lost"),

    /** Of a share of the reports a copy is kept, and reaches every controller when the next leader begins. */
    KEPT_COPIES("copies_for_next"),

    /** A share of the jobs that end is withdrawn at that moment. */
    AT_END("withdrawals_at_end"),

    /**
     * Users ask all nodes within milliseconds after a job was accepted, ended or withdrawn, and repeat its submission.
     */
    LOOKS("close_looks"),

    /** Users repeat submissions, withdraw what is done, and submit what can't run or lacks a field. */
    ODD("odd_requests"),

    /** A share of the running jobs is withdrawn within a fifth of a second; some of their machines hang for so long. */
    CALLED_OFF("called_off"),

    /** Machines rented meanwhile are up within two seconds. */
    FAST_BOOT("fast_boot"),

    /** Jobs of one task, four a second, a quarter of them withdrawn. */
    SWARM("one_task_jobs"),
    ;

    companion object {
        /** What [Schedule.draw] draws from: a seed gives the schedule that it always gave. */
        val DRAWN: List<Kind> = entries.takeWhile { it != DEAF }
    }
}

/** One trouble of a schedule. [share]: of machines, or of messages; times count from the schedule's start. */
internal data class Trouble(
    val kind: Kind,
    val at: Duration,
    val lasts: Duration = Duration.ZERO,
    val share: Double = 0.0,
    /** Zone or node by its number; of nodes, -1 is the one that leads when it comes. */
    val target: Int = 0,
    val from: String = "all",
    val mode: CutMode = CutMode.HOLD,
) {
    fun encode(): Map<String, Any?> = linkedMapOf(
        "kind" to kind.word,
        "at_ms" to at.inWholeMilliseconds,
        "lasts_ms" to lasts.inWholeMilliseconds,
        "share" to share,
        "target" to target,
        "from" to from,
        "mode" to mode.name.lowercase(),
    )

    companion object {
        const val LEADER = -1
        val LOST = listOf("all", "state", "workers", "peers")

        /** State service and other controllers, not workers or users. */
        const val CORE = "core"

        /** Of a zone: it loses the other zones, while hosts that belong to none still reach it. */
        const val OTHER_ZONES = "zones"

        /** Throws [MalformedJson] with the field's name. */
        fun decode(from: JsonObject): Trouble {
            val kind = kind(from.string("kind"))
            val lost = lost(from.stringOrNull("from") ?: "all")
            val mode = from.stringOrNull("mode")?.let(::mode)
            val share = share(from)
            val target = target(from)
            return Trouble(
                kind,
                from.count("at_ms").milliseconds,
                (from.longOrNull("lasts_ms") ?: 0).milliseconds,
                share,
                target,
                lost,
                mode ?: CutMode.HOLD,
            )
        }

        private fun kind(word: String): Kind =
            Kind.entries.firstOrNull { it.word == word } ?: throw MalformedJson("kind: $word is unknown")

        private fun mode(word: String): CutMode = CutMode.entries.firstOrNull { it.name.lowercase() == word }
            ?: throw MalformedJson("mode: $word is unknown")

        private fun lost(word: String): String {
            val known = LOST + OTHER_ZONES + CORE
            return if (word in known) word else throw MalformedJson("from: $word is none of $known")
        }

        private fun share(from: JsonObject): Double {
            val share = from.amountOrNull("share") ?: 0.0
            return if (share in 0.0..MOST_SHARE) share else throw MalformedJson("share: $share is out of range")
        }

        private fun target(from: JsonObject): Int {
            val target = from.raw("target") as? Long ?: 0
            if (target !in LEADER..MOST_TARGETS) throw MalformedJson("target: $target is out of range")
            return target.toInt()
        }

        private const val MOST_TARGETS = 8

        /** A part of machines or messages; of slow boots, how many times slower. */
        private const val MOST_SHARE = 20.0
    }
}
