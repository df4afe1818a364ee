//! What is due for the budgets is done now and then.

use std::time::Duration;

use async_io::Timer;

use crate::common::Common;

/// How often idle connections over a part are looked for, and what is due.
const TICK: Duration = Duration::from_millis(100);

/// Reports what is wanted, closes what is over, and gives while it leads.
pub async fn run(common: Common) {
    let (Some(ground), Some(budgets)) = (common.ground.clone(), common.budgets.clone()) else {
        return;
    };
    loop {
        Timer::after(TICK).await;
        budgets.tick(&ground, &common.log);
    }
}
