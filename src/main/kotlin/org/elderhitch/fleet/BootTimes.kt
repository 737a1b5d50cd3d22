package org.elderhitch.fleet

/**
 * How long machines lately took to boot, in multiples of what the cloud states. Some never come up and are charged all
 * the
 * same: whatever takes longer by a margin than all that came up is given up, so that a slow hour of the cloud moves the
 * limit.
 */
public class BootTimes {
    private val recent = ArrayDeque<Double>()

    public val hopeless: Double
        get() = if (recent.size <
            ENOUGH
        ) {
            FleetPlan.HOPELESS_BOOT
        } else {
            (recent.max() * MARGIN).coerceIn(LEAST, FleetPlan.HOPELESS_BOOT)
        }

    /**
     * When a machine counts as late, and what waited for it rents another. While none came up at all, or all come late,
     * the
     * cloud is slow and another would come later still: a morning's whole fleet was rented twice at two and a half
     * times
     * the usual boot.
     */
    public fun late(anyUp: Boolean): Double = when {
        !anyUp -> FleetPlan.HOPELESS_BOOT

        recent.isEmpty() -> FleetPlan.LATE_BOOT

        else -> (recent.sorted()[recent.size / 2] * FleetPlan.LATE_BOOT).coerceIn(
            FleetPlan.LATE_BOOT,
            FleetPlan.HOPELESS_BOOT,
        )
    }

    public fun add(multiple: Double) {
        recent.addLast(multiple)
        if (recent.size > KEPT) recent.removeFirst()
    }

    private companion object {
        const val ENOUGH = 10
        const val KEPT = 40
        const val MARGIN = 1.25
        const val LEAST = 2.0
    }
}
