package org.elderhitch.lab

import org.elderhitch.jobs.TerminalRecord
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One job of the mix. Cancelled jobs run without end otherwise, so that both interfaces must give the same answer. */
internal class MixJob(
    val number: Int,
    val kind: String,
    val tasks: Int,
    val runSeconds: Double,
    val submitAfter: Duration,
    val cancelAfter: Duration?,
    val submittedTwice: Boolean,
    val failures: Int,
) {
    val needs: Map<String, Any?> = mapOf(
        "lotKind" to kind, "cores" to 1.0, "accelerators" to GPUS, "memGb" to 4.0, "catchImage" to "img-1",
        "pullGb" to 1.0, "haulS" to runSeconds,
        "tallyS" to 0.0, "stowS" to 0.0, "borrowedRigs" to true, "urgency" to "normal",
    )

    companion object {
        const val GPUS = 0.25
        private const val SUBMISSIONS_PER_S = 6.0

        fun mix(size: Int, random: Random): List<MixJob> = List(size) { n ->
            val draw = random.nextDouble()
            val kind = if (draw < 0.7) {
                "array"
            } else if (draw < 0.9) {
                "gang"
            } else {
                "daemon"
            }
            val cancelled = kind == "daemon" || random.nextDouble() < 0.05
            MixJob(
                n,
                kind,
                1 + random.nextInt(if (kind == "array") 5 else 3),
                if (cancelled) 100_000.0 else 1 + random.nextDouble() * 6,
                (n / SUBMISSIONS_PER_S).seconds + random.nextInt(400).milliseconds,
                if (cancelled) (5 + random.nextInt(30)).seconds else null,
                random.nextDouble() < 0.1,
                if (kind == "array" && !cancelled && random.nextDouble() < 0.03) 1 + random.nextInt(2) else 0,
            )
        }
    }
}

/** How a job of the mix ended: the state that its user was told, and its terminal record. */
internal class MixOutcome(val answer: String?, val record: TerminalRecord?)
