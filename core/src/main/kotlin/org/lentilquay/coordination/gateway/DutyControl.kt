/*
 * The duties that one VM at a time performs for the fleet, as the code that performs them sees them. Call on the
 * control thread.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.gateway.DutySubject

interface DutyControl {
    /** The subjects that some VM of the fleet must hold; replaces those of the last call. */
    fun require(subjects: Set<DutySubject>)

    /** The fencing number with which this VM holds [subject], or null if it does not hold it. */
    fun fenceOf(subject: DutySubject): Long?

    /**
     * Whether a call for [subject] with the number [fence] may be written now. Ask right before the call is written,
     * because opening a connection takes time.
     */
    fun mayCall(subject: DutySubject, fence: Long): Boolean
}
